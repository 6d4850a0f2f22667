"""Tests of the judgement of silent links."""

import unittest

from masticquay_wire import heartbeats
from masticquay_wire import peers

Action = heartbeats.Action
STEP_S = 0.1


def run(keep_open, busy, until_s, begun_s=0.0):
    """Returns the time of each ping, and how and when a silent link ends."""
    heartbeat = heartbeats.Heartbeat(0.0, keep_open)
    pings = []
    step = 0
    while step * STEP_S < until_s:
        step += 1
        now_s = step * STEP_S
        action = heartbeat.check(now_s, busy and now_s > begun_s)
        if action is Action.PING:
            pings.append(now_s)
        elif action is not Action.WAIT:
            return pings, action, now_s
    return pings, Action.WAIT, until_s


class HeartbeatTest(unittest.TestCase):
    def test_a_silent_link_with_calls_is_dropped_in_the_short_time(self):
        pings, action, ended_s = run(False, True, 60)
        self.assertIs(Action.DROP, action)
        self.assertAlmostEqual(peers.SILENCE_LIMIT_MS / 1000, ended_s, 0)
        self.assertGreaterEqual(len(pings), 2)

    def test_a_call_after_a_pause_gets_time_for_an_answer(self):
        pings, action, ended_s = run(False, True, 60, begun_s=8.0)
        self.assertIs(Action.DROP, action)
        self.assertGreaterEqual(ended_s, 8.9)
        self.assertLessEqual(ended_s, 8.0 + peers.SILENCE_LIMIT_MS / 1000)
        self.assertTrue(pings)

    def test_an_idle_link_is_closed_without_pings(self):
        pings, action, ended_s = run(False, False, 60)
        self.assertIs(Action.CLOSE, action)
        self.assertEqual([], pings)
        self.assertGreaterEqual(ended_s, peers.IDLE_CLOSE_MS / 1000)

    def test_a_link_kept_open_is_pinged_seldom_and_dropped_later(self):
        pings, action, ended_s = run(True, False, 60)
        self.assertIs(Action.DROP, action)
        self.assertEqual([2.0, 4.0, 6.0], [round(p, 1) for p in pings])
        self.assertGreaterEqual(ended_s, peers.IDLE_SILENCE_LIMIT_MS / 1000)

    def test_frames_keep_a_link(self):
        heartbeat = heartbeats.Heartbeat(0.0, True)
        for second in range(100):
            heartbeat.note_frame(float(second))
            self.assertIsNot(Action.DROP, heartbeat.check(second + 0.9, True))
