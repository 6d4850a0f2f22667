"""Tests of the choice among peers."""

import unittest

from masticquay_gateway import errors
from masticquay_gateway import peer_links
from masticquay_routing import fleets


class PeerLinksTest(unittest.TestCase):
    # Guards against requests that leave their regions by way of a peer.
    def test_peer_in_another_region_is_not_used(self):
        dialled = []
        own = fleets.Host('h1', 'a:1', 'p1', 'a:2')
        peers = [
            fleets.Host('h2', 'b:1', 'p1', '127.0.0.1:1'),
            fleets.Host('h3', 'c:1', 'p2', '127.0.0.1:1'),
        ]
        links = peer_links.PeerLinks(own, b'secret', lambda: peers)
        links._dial = lambda host: dialled.append(host.name)
        with self.assertRaises(errors.NoPathError):
            links.acquire(set(), lambda place: place == 'p2')
        self.assertEqual(['h3'], dialled)
