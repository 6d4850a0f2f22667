"""Tests of endpoint lists that are sent as changes."""

import random
import unittest

from masticquay_routing import endpoint_changes
from masticquay_routing import fleets
from masticquay_routing import messages
from masticquay_wire import errors
from masticquay_wire import messages as wire_messages

# The size at which whole lists were most of what the leader sent.
ENDPOINTS = 3_000
TERM = 4


def make_endpoint(number, leaving=False):
    return fleets.Endpoint(
        f'i-{number:08x}',
        'plain',
        f'10.1.{number // 250}.{number % 250}:8080',
        'p1',
        leaving=leaving,
        started_ms=1_790_000_000_000 + number,
    )


def make_update(number, endpoints, versions=None):
    return messages.EndpointUpdate(TERM, number, endpoints, versions)


def frame_bytes(message):
    return len(wire_messages.EncodedNotice(message).frame)


class EndpointChangesTest(unittest.TestCase):
    def test_changes_and_base_give_the_new_list(self):
        randomness = random.Random(1)
        numbers = list(range(60))
        before = make_update(1, [make_endpoint(n) for n in numbers])
        for number in range(2, 30):
            kept = [n for n in numbers if randomness.random() > 0.05]
            endpoints = [
                make_endpoint(n, randomness.random() < 0.05) for n in kept
            ]
            endpoints.append(make_endpoint(100 + number))
            after = make_update(number, endpoints, {'plain': [str(number)]})
            changes = endpoint_changes.find_changes(before, after)
            merged = changes.merge(before.endpoints)
            with self.subTest(number):
                self.assertEqual(after.number, merged.number)
                self.assertEqual(after.stream_versions, merged.stream_versions)
                self.assertEqual(set(endpoints), set(merged.endpoints))
                self.assertEqual(len(endpoints), len(merged.endpoints))
            before = after

    def test_lists_that_differ_much_have_no_changes(self):
        before = make_update(1, [make_endpoint(n) for n in range(10)])
        after = make_update(2, [make_endpoint(n) for n in range(6, 16)])
        self.assertIsNone(endpoint_changes.find_changes(before, after))

    def test_id_that_is_listed_twice_has_no_changes(self):
        before = make_update(1, [make_endpoint(n) for n in range(10)])
        after = make_update(2, [*before.endpoints, make_endpoint(1, True)])
        self.assertIsNone(endpoint_changes.find_changes(before, after))
        self.assertIsNone(endpoint_changes.find_changes(after, before))

    # Guards against a leader whose traffic grows with hosts times endpoints.
    def test_change_of_one_of_many_endpoints_is_small(self):
        endpoints = [make_endpoint(n) for n in range(ENDPOINTS)]
        before = make_update(1, endpoints)
        after = make_update(2, [*endpoints[1:], make_endpoint(0, True)])
        changes = endpoint_changes.find_changes(before, after)
        self.assertLess(frame_bytes(changes), 1_000)
        packed = endpoint_changes.PackedEndpoints.pack(after)
        self.assertLess(frame_bytes(packed), frame_bytes(after) / 4)

    def test_packed_list_is_unpacked_as_it_was(self):
        update = make_update(3, [make_endpoint(1)], {'plain': ['v1']})
        packed = endpoint_changes.PackedEndpoints.pack(update)
        self.assertEqual(update.to_wire(), packed.unpack().to_wire())

    def test_unreadable_packed_list_is_an_error_of_the_message(self):
        for data in (b'', b'x', endpoint_changes.zlib.compress(b'\xff')):
            with self.subTest(data), self.assertRaises(errors.MessageError):
                endpoint_changes.PackedEndpoints(data).unpack()
