"""Tests of the routing table and its validation."""

import unittest

from masticquay_routing import errors
from masticquay_routing import table_checks
from masticquay_routing import tables
from tests import builders


class MatchTest(unittest.TestCase):
    def test_longest_prefix_wins(self):
        table = builders.make_table(
            routes=[
                builders.make_route('short', prefix='/a/'),
                builders.make_route('long', prefix='/a/b/'),
            ]
        )
        self.assertEqual('long', table.match('A.example', '/a/b/c').name)
        self.assertEqual('short', table.match('a.example', '/a/bc').name)

    def test_unknown_host_or_prefix_has_no_route(self):
        table = builders.make_table()
        self.assertIsNone(table.match('b.example', '/a/'))
        self.assertIsNone(table.match('a.example', '/a'))


class PrioritiesTest(unittest.TestCase):
    def has_priorities(self, routes, *workspaces):
        table = builders.make_table(
            routes=[
                builders.make_route(name=f'r{n}', priority=p, is_model=m)
                for n, (p, m) in enumerate(routes)
            ],
            workspaces=[
                tables.Workspace(f'w{n}', [], priority=p)
                for n, p in enumerate(workspaces)
            ],
        )
        return table.has_priorities

    def test_model_routes_and_workspaces_may_have_several_priorities(self):
        self.assertTrue(self.has_priorities([(1, True), (2, True)]))
        self.assertTrue(self.has_priorities([(1, True)], 1, 0))

    def test_one_priority_of_model_requests_is_none(self):
        self.assertFalse(self.has_priorities([(1, True), (2, False)]))
        self.assertFalse(self.has_priorities([(1, True)], 1, None))


class ChooseServiceTest(unittest.TestCase):
    def test_service_is_chosen_by_weight(self):
        route = builders.make_route(
            targets=[tables.Target('x', 90), tables.Target('y', 10)]
        )
        self.assertEqual('x', route.choose_service(0.0))
        self.assertEqual('x', route.choose_service(0.89))
        self.assertEqual('y', route.choose_service(0.91))

    def test_weight_of_zero_is_never_chosen(self):
        route = builders.make_route(
            targets=[tables.Target('x', 0), tables.Target('y', 5)]
        )
        self.assertEqual('y', route.choose_service(0.0))


class WorkspaceTest(unittest.TestCase):
    def test_workspace_is_found_by_its_api_keys_only(self):
        workspace = tables.Workspace('w', ['k1', 'k2'])
        table = builders.make_table(workspaces=[workspace])
        self.assertIs(workspace, table.workspace_by_key('k2'))
        self.assertIsNone(table.workspace_by_key('k3'))

    def test_cost_counts_tokens_if_set_and_else_requests(self):
        plain = tables.Workspace('w', [])
        counted = tables.Workspace(
            'w', [], counts_tokens=True, default_tokens=200
        )
        self.assertEqual(1, plain.cost(3_000))
        self.assertEqual(3_000, counted.cost(3_000))
        self.assertEqual(200, counted.cost(None))


class TableCheckTest(unittest.TestCase):
    def assert_invalid(self, table, field_path):
        with self.assertRaises(errors.TableError) as raised:
            table_checks.check(table)
        self.assertIn(field_path, raised.exception.key)

    def test_valid_table_passes(self):
        table_checks.check(builders.make_table())

    def test_unknown_service_is_invalid(self):
        route = builders.make_route(service='other')
        self.assert_invalid(builders.make_table(routes=[route]), 'routes.r')

    def test_duplicate_host_and_prefix_are_invalid(self):
        routes = [builders.make_route('one'), builders.make_route('two')]
        self.assert_invalid(builders.make_table(routes=routes), 'two')

    def test_weights_that_add_up_to_zero_are_invalid(self):
        route = builders.make_route(targets=[tables.Target('svc', 0)])
        self.assert_invalid(builders.make_table(routes=[route]), 'routes.r')

    def test_timeout_of_zero_is_invalid(self):
        route = builders.make_route(timeout_ms=0)
        self.assert_invalid(builders.make_table(routes=[route]), 'routes.r')

    def test_prefix_without_slash_is_invalid(self):
        route = builders.make_route(prefix='/a')
        self.assert_invalid(builders.make_table(routes=[route]), 'routes.r')

    def test_api_key_of_two_workspaces_is_invalid(self):
        workspaces = [
            tables.Workspace('one', ['k']),
            tables.Workspace('two', ['k']),
        ]
        table = builders.make_table(workspaces=workspaces)
        self.assert_invalid(table, 'workspaces.two')
