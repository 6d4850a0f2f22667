"""Load patterns: endpoints that leave, or that ask hosts for pauses.

The rules are counted as the users count them, for each host and endpoint.
"""

import collections
import random
import unittest

from masticquay_routing import endpoint_notices
from masticquay_routing import fleets

HOST_COUNT = 191
SEED_COUNT = 50
DRAIN_MS = 4_000
# A host hears from the leader what another host has heard.
RENEWAL_MS = 400
GRACE_MS = 500
MAX_REQUESTS_IN_PAUSE = 2


def make_endpoints(count, **fields):
    return [
        fleets.Endpoint(f'e{n}', 'svc', f'127.0.0.1:{n}', 'p', **fields)
        for n in range(count)
    ]


class LeavingLoadTest(unittest.TestCase):
    def play(self, seed):
        """Plays a service of five endpoints, one of which leaves at 1,000 ms.

        The platform's list shows it 3 s later.

        :returns: requests that reached it later than ``DRAIN_MS`` after it had
            told that host that it leaves, and all that reached it after it
            said so to some host
        """
        rng = random.Random(seed)
        endpoints = make_endpoints(5)
        hosts = [
            endpoint_notices.LeavingEndpoints() for _ in range(HOST_COUNT)
        ]
        told_ms = {}
        known_to_all_ms = None
        late = reached = 0
        for now_ms in range(0, 12_000, 4):
            number = rng.randrange(HOST_COUNT)
            host = hosts[number]
            if known_to_all_ms is not None and now_ms >= known_to_all_ms:
                host.add('e0', 0, now_ms)
            if now_ms >= 4_000:
                listed = make_endpoints(5)
                listed[0].leaving = True
                host.apply_list(listed, now_ms)
            usable = [e for e in host.mark(endpoints) if not e.leaving]
            chosen = rng.choice(usable)
            if chosen.endpoint_id != 'e0' or now_ms < 1_000:
                continue
            reached += 1
            late += now_ms > told_ms.get(number, now_ms) + DRAIN_MS
            told_ms.setdefault(number, now_ms)
            host.add('e0', 0, now_ms)
            if known_to_all_ms is None:
                known_to_all_ms = now_ms + RENEWAL_MS
        return late, reached

    def test_service_of_five_with_one_that_leaves_before_191_hosts(self):
        for seed in range(SEED_COUNT):
            late, reached = self.play(seed)
            self.assertEqual(0, late)
            # Only what was sent before all hosts had heard of it.
            self.assertLess(reached, 60)


class PauseLoadTest(unittest.TestCase):
    def play(self, seed):
        """Plays a service of three that ask hosts for pauses in turns.

        :returns: for each host and endpoint that was asked for a pause, the
            requests within it after the grace time; and the requests refused
            while all endpoints paused, with the wait they were told
        """
        rng = random.Random(seed)
        endpoints = make_endpoints(3)
        hosts = [
            endpoint_notices.Pauses(random.Random(f'{seed} {n}'))
            for n in range(HOST_COUNT)
        ]
        asked = {}
        in_pause = collections.Counter()
        waits_ms = []
        for now_ms in range(0, 30_000, 2):
            number = rng.randrange(HOST_COUNT)
            pausing = hosts[number].ids(now_ms)
            usable = [e for e in endpoints if e.endpoint_id not in pausing]
            if not usable:
                wait_ms = hosts[number].shortest_ms(endpoints, now_ms)
                waits_ms.append(wait_ms)
                continue
            chosen = rng.choice(usable)
            key = (number, chosen.endpoint_id)
            from_ms, until_ms = asked.get(key, (0, 0))
            if from_ms + GRACE_MS <= now_ms < until_ms:
                in_pause[key] += 1
            # Each endpoint is overloaded for two of every six seconds.
            phase = now_ms // 2_000 % 3
            if chosen is endpoints[phase] or now_ms % 10_000 < 300:
                pause_ms = rng.choice((300, 1_000, 4_000))
                asked[key] = (now_ms, now_ms + pause_ms)
                hosts[number].add(chosen.endpoint_id, pause_ms, now_ms)
        return in_pause, waits_ms

    def test_service_of_three_that_ask_for_pauses_in_turns(self):
        for seed in range(SEED_COUNT):
            in_pause, waits_ms = self.play(seed)
            worst = max(in_pause.values(), default=0)
            self.assertLessEqual(worst, MAX_REQUESTS_IN_PAUSE)
            self.assertTrue(all(wait_ms > 0 for wait_ms in waits_ms))

    def test_hosts_return_spread_over_time(self):
        """An endpoint asks 191 hosts for the same pause at the same moment."""
        ends_ms = []
        for number in range(HOST_COUNT):
            pauses = endpoint_notices.Pauses(random.Random(number))
            pauses.add('e0', 5_000, 0)
            ends_ms.append(pauses.remaining_ms('e0', 0))
        self.assertGreaterEqual(min(ends_ms), 5_000)
        self.assertLessEqual(max(ends_ms), 6_000)
        by_tenth = collections.Counter(end // 100 for end in ends_ms)
        self.assertLess(max(by_tenth.values()), HOST_COUNT / 4)


class PausesTest(unittest.TestCase):
    def setUp(self):
        self.pauses = endpoint_notices.Pauses(random.Random(1))

    def test_longest_pause_that_was_asked_for_counts(self):
        self.pauses.add('e0', 5_000, 0)
        self.pauses.add('e0', 100, 0)
        self.assertGreaterEqual(self.pauses.remaining_ms('e0', 0), 5_000)

    def test_shortest_pause_is_told_only_if_all_want_one(self):
        endpoints = make_endpoints(2)
        self.pauses.add('e0', 5_000, 0)
        self.assertEqual(0, self.pauses.shortest_ms(endpoints, 0))
        self.pauses.add('e1', 1_000, 0)
        shortest_ms = self.pauses.shortest_ms(endpoints, 0)
        self.assertTrue(1_000 <= shortest_ms < 5_000)

    def test_endpoint_that_leaves_does_not_count_for_the_shortest(self):
        endpoints = make_endpoints(2)
        endpoints[1].leaving = True
        self.pauses.add('e0', 5_000, 0)
        self.assertGreaterEqual(self.pauses.shortest_ms(endpoints, 0), 5_000)


class LeavingEndpointsTest(unittest.TestCase):
    def setUp(self):
        self.leaving = endpoint_notices.LeavingEndpoints()

    def test_successor_at_the_address_starts_clean(self):
        self.leaving.add('e0', 0, 0)
        successor = fleets.Endpoint('e9', 'svc', '127.0.0.1:0', 'p')
        self.assertFalse(self.leaving.mark([successor])[0].leaving)

    def test_list_that_does_not_show_it_yet_changes_nothing(self):
        self.leaving.add('e0', 0, 0)
        self.leaving.apply_list(make_endpoints(1), 3_000)
        self.assertIn('e0', self.leaving)

    def test_word_that_the_leader_does_not_confirm_is_dropped(self):
        """The endpoint was back before the leader was told."""
        self.leaving.add('e0', 0, 0)
        self.assertEqual(300, self.leaving.report(300)[0].age_ms)
        confirm_ms = 300 + endpoint_notices.CONFIRM_MS
        self.assertEqual(1, len(self.leaving.report(confirm_ms)))
        self.assertEqual([], self.leaving.report(confirm_ms + 1))

    def test_confirmed_word_is_kept(self):
        self.leaving.add('e0', 0, 0)
        self.leaving.report(0)
        self.leaving.apply_list(make_endpoints(1, leaving=True), 100)
        self.assertEqual(1, len(self.leaving.report(60_000)))

    def test_word_from_before_the_return_of_an_endpoint_is_no_news(self):
        self.leaving.add('e0', 0, 0)
        self.leaving.apply_list(make_endpoints(1, leaving=True), 100)
        self.leaving.apply_list(make_endpoints(1), 9_000)
        self.assertFalse(self.leaving.add('e0', 0, 8_000))
        self.assertTrue(self.leaving.add('e0', 0, 9_500))

    def test_word_that_no_list_confirms_is_dropped_in_the_end(self):
        self.leaving.add('e0', 0, 0)
        late_ms = endpoint_notices.MAX_LEAVING_MS + 1
        self.leaving.apply_list(make_endpoints(1), late_ms)
        self.assertNotIn('e0', self.leaving)
