"""One short run of a whole fleet of real processes."""

from concurrent import futures
import unittest

from masticquay_bench import calls
from masticquay_bench import checkers
from masticquay_bench import fleets
from masticquay_bench import runs
from masticquay_bench import usage_checks

CALLS = 6


class FleetTest(unittest.TestCase):
    def test_a_fleet_keeps_its_promises_and_ends(self):
        sizes = fleets.Sizes(controls=1, entries=2, engines=2, services=1)
        with fleets.Fleet(sizes=sizes) as fleet:
            run = runs.Run(fleet)
            self.use(run)
            mark = run.roll()
            self.assertLess(mark.begin_ms, mark.end_ms)
            self.assertEqual((2, 2), run.count_served())
            run.withdraw('thesis-desk', 0)
            late = run.caller('thesis-desk').complete('late', 'style-guide')
            self.assertEqual(401, late.status)
            run.drain_entry(0)
            self.assertEqual([], self.compare_usage(run))
            self.complete(run, CALLS)
            run.kill_entry(1)
            self.assertEqual([], self.compare_usage(run))
            started = fleet.all_processes()
            found = run.collect()
        broken = [v.name for v in checkers.judge(found) if not v.held]
        self.assertEqual([], broken)
        self.assertFalse([p.name for p in started if p.running])

    def use(self, run):
        """Makes a few calls of each kind, all of which must end well.

        The second round comes when the fleet has learned from the first.
        """
        fleet = run.fleet
        names = [w.name for w in fleet.deployment.workspaces]
        path = fleet.deployment.effect_path
        effect = run.caller(names[0]).request(
            'e', 'POST', path, b'x', idempotency_key='k', idempotent=False
        )
        ends = [effect.end]
        for _ in range(2):
            ends += self.complete(run, CALLS)
        self.assertEqual([calls.END_OK] * (1 + 2 * CALLS), ends)

    def complete(self, run, count):
        """Makes completions at once, and returns how they ended."""
        names = [w.name for w in run.fleet.deployment.workspaces[:2]]
        with futures.ThreadPoolExecutor(count) as pool:
            pending = [
                pool.submit(
                    run.caller(names[number % len(names)]).complete,
                    run.next_id(),
                    run.fleet.deployment.model,
                )
                for number in range(count)
            ]
        return [future.result().end for future in pending]

    def compare_usage(self, run):
        """Compares the ledger with the calls, also after a host crashed."""
        return usage_checks.check_fleet(run.fleet, run.log.calls())
