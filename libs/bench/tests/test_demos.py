"""The demo, as the README's main command runs it."""

import unittest

from masticquay_bench import demos


class DemoTest(unittest.TestCase):
    # Guards against a main command of the README that nothing else runs: a
    # host cut its streams in 2 of 5 demos while all tests passed.
    # Its streams are of a class that a slow machine does not refuse.
    def test_every_step_of_the_demo_passes(self):
        step_results = demos.run_demo(demos.PATIENT_CLASS)
        failed = [
            f'{result.step}: {result.details}'
            for result in step_results
            if not result.passed
        ]
        self.assertEqual([], failed)
        self.assertEqual(11, len(step_results))
