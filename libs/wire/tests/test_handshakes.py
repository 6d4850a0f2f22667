"""Tests of proofs and versions on new links."""

from concurrent import futures
import queue
import unittest

import cbor2

from masticquay_wire import errors
from masticquay_wire import handshakes
from masticquay_wire import messages
from tests import test_peers


class Pipe:
    """One end of a link in memory."""

    def __init__(self, sent, received):
        self._sent = sent
        self._received = received

    def send(self, message):
        self._sent.put(message)

    def recv(self, timeout=None):
        return self._received.get(timeout=20)


def shake_hands(dial_secret=b's', listen_secret=b's', dialled=1, listened=1):
    """Returns the futures of the dialling and the listening side."""
    one, other = queue.Queue(), queue.Queue()
    with futures.ThreadPoolExecutor(2) as pool:
        dial = pool.submit(
            handshakes.dial,
            Pipe(one, other),
            dial_secret,
            'name',
            b'session',
            dialled,
        )
        listen = pool.submit(
            handshakes.listen,
            Pipe(other, one),
            listen_secret,
            b'instance',
            listened,
        )
    return dial, listen


class HandshakesTest(unittest.TestCase):
    def test_adjacent_versions_speak_the_older(self):
        for dialled, listened in ((1, 1), (1, 2), (2, 1)):
            dial, listen = shake_hands(dialled=dialled, listened=listened)
            self.assertEqual(1, dial.result().version)
            self.assertEqual('name', listen.result().name)

    def test_distant_versions_are_refused_on_both_sides(self):
        for dialled, listened in ((1, 3), (3, 1)):
            for side in shake_hands(dialled=dialled, listened=listened):
                with self.assertRaisesRegex(errors.VersionError, 'version'):
                    side.result()

    def test_another_secret_is_refused_on_both_sides(self):
        for side in shake_hands(dial_secret=b'x'):
            with self.assertRaises(errors.AuthenticationError):
                side.result()


class AdjacentMessagesTest(unittest.TestCase):
    def test_unknown_parts_and_fields_of_a_later_version_are_ignored(self):
        frame = messages.Frame(messages.KIND_CALL, 7, test_peers.Echo('x'))
        parts = cbor2.loads(messages.encode_frame(frame))
        parts[3]['added'] = 1
        parts.append('added')
        read = messages.decode_frame(cbor2.dumps(parts))
        self.assertEqual(test_peers.Echo('x'), read.message)

    def test_a_frame_of_an_earlier_version_without_a_floor_is_read(self):
        frame = messages.Frame(messages.KIND_CALL, 7, test_peers.Echo('x'), 3)
        parts = cbor2.loads(messages.encode_frame(frame))
        read = messages.decode_frame(cbor2.dumps(parts[:4]))
        self.assertEqual(0, read.floor)

    def test_malformed_frames_are_refused(self):
        for data in (b'', b'\xff', b'\x80', b'\x82\x61x\x61y', b'\x00'):
            with self.assertRaises(errors.MessageError):
                messages.decode_frame(data)
