"""Tests of the state of one request."""

import unittest

from masticquay_routing import tables
from tests import fakes

LIMITS = tables.CallerLimits(1, 2, 3, 4)


def make_job(*workspace_priorities):
    """Returns a job of the first workspace, on a route of priority 2."""
    route = fakes.make_route(priority=2, is_model=True)
    workspaces = [
        tables.Workspace(f'w{number}', [], priority=priority)
        for number, priority in enumerate(workspace_priorities)
    ]
    job = fakes.make_job(route)
    job.workspace = workspaces[0]
    job.table = tables.Table(1, [route], [], workspaces, LIMITS)
    return job


class ContextsTest(unittest.TestCase):
    def test_engines_are_told_the_priority_of_workspace_before_route(self):
        self.assertEqual(0, make_job(0).engine_context().priority)
        self.assertEqual(2, make_job(None, 1).engine_context().priority)

    def test_one_priority_of_all_is_not_told(self):
        """Such deployments are served as before."""
        self.assertIsNone(make_job(None).engine_context().priority)
        self.assertIsNone(make_job(2).engine_context().priority)

    def test_plain_endpoints_are_told_no_priority(self):
        self.assertIsNone(make_job(0).endpoint_context().priority)
