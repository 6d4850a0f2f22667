"""Tests of the checks of bundle files."""

import unittest

from masticquay_bundles import checks
from tests import fixtures


class CheckTest(unittest.TestCase):
    def problems(self, old: str, new: str) -> list[str]:
        text = fixtures.bundle_text()
        self.assertIn(old, text)
        checked = checks.check_text(text.replace(old, new, 1), 'b.yaml')
        return [str(problem) for problem in checked.failure()]

    def assert_problem(self, old: str, new: str, *expected: str) -> None:
        found = '\n'.join(self.problems(old, new))
        for text in expected:
            self.assertIn(text, found)

    def test_a_valid_bundle_passes_with_its_defaults(self):
        bundle = fixtures.make_bundle()
        self.assertEqual(['POST'], bundle.routes[0].methods)
        self.assertEqual(4_000, bundle.endpoints[0].pieces)
        self.assertEqual(1, bundle.workspace('kisumu').weight)

    def test_unknown_key_is_named_with_its_line(self):
        self.assert_problem(
            'version: 1\n',
            'version: 1\nverzion: 2\n',
            'b.yaml:2: verzion: unknown key',
        )

    def test_missing_key(self):
        self.assert_problem(
            'approvals_required: 1\n', '', 'missing key approvals_required'
        )

    def test_dangling_names(self):
        self.assert_problem(
            'workspace: kisumu}',
            'workspace: mombasa}',
            'keys[0].workspace: no workspace mombasa in this bundle',
        )
        self.assert_problem(
            'place: nairobi-1', 'place: nowhere', 'no place nowhere'
        )
        self.assert_problem(
            'service: jobs\nendpoints', 'service: pay\nendpoints', 'pay'
        )
        self.assert_problem('classes: [prompt]', 'classes: [slow]', 'slow')

    def test_duplicates_name_the_first_line(self):
        self.assert_problem(
            'name: jobs-1', 'name: engine-1', 'engine-1 stands already in line'
        )

    def test_duplicate_key_of_a_map(self):
        self.assert_problem(
            'version: 1\n', 'version: 1\nversion: 2\n', 'repeated key'
        )

    def test_negative_and_overflowing_numbers(self):
        self.assert_problem(
            'rate_tokens_per_s: 1000', 'rate_tokens_per_s: -1', 'minimum'
        )
        self.assert_problem(
            'burst_tokens: 4000',
            'burst_tokens: 99999999999999999999',
            'workspaces[0].burst_tokens',
        )

    def test_every_fault_is_listed_in_one_go(self):
        text = fixtures.bundle_text()
        text = text.replace('place: nairobi-1', 'place: nowhere')
        text = text.replace('workspace: kisumu}', 'workspace: mombasa}')
        found = checks.check_text(text).failure()
        self.assertEqual(3, len(found))

    def test_more_approvals_than_approvers(self):
        self.assert_problem(
            'approvals_required: 1',
            'approvals_required: 2',
            '2 approvals of 1 approvers',
        )

    def test_a_non_idempotent_route_must_be_a_keyed_service(self):
        self.assert_problem(
            'access: keyed\n', 'access: open\n', 'must be keyed'
        )

    def test_broken_yaml_names_the_line(self):
        found = checks.check_text('version: 1\nkeys: [\n', 'b.yaml').failure()
        self.assertIn('b.yaml:3', str(found[0]))

    def test_empty_and_scalar_files(self):
        self.assertIn('empty', str(checks.check_text('').failure()[0]))
        self.assertTrue(checks.check_text('just text').failure())

    def test_port_out_of_range(self):
        self.assert_problem(':9001', ':99999', '99999 is no port')

    def test_an_engine_needs_roles_and_model(self):
        self.assert_problem(
            '    roles: [prefill, decode]\n', '', 'missing key roles'
        )
        self.assert_problem(
            '    model: style-guide\n', '', 'missing key model'
        )
