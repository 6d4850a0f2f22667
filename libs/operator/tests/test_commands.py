"""Tests of the operators' command, against a fake control."""

import io
import json
import pathlib
import tempfile
import unittest

from masticquay_bundles import signatures
from masticquay_membership import errors as membership_errors
from masticquay_membership import messages
from masticquay_membership import operator_messages
from masticquay_membership import usage_messages
from masticquay_operator import commands
from masticquay_operator import contexts
from masticquay_operator import exits
from masticquay_wire import clocks
from masticquay_wire import errors as wire_errors

BUNDLE = """\
version: 2
approvals_required: 1
approvers: [{{name: amina, public_key: '{public_key}'}}]
places: [{{name: p1, region: r1}}]
workspaces: [{{name: kisumu, rate_tokens_per_s: 10, burst_tokens: 10}}]
keys: []
classes:
  - name: prompt
    kind: prompt
    first_token_target_ms: 490
    between_tokens_target_ms: 35
    deadline_ms: 5000
    max_wait_ms: 1000
routes: [{{path: /v1/completions, access: keyed, classes: [prompt]}}]
endpoints: []
"""
EMPTY_VIEW = messages.View(3, [messages.Host('e1', 7, 'p1', 'a:1', 'a:2')])


class FakeControl:
    """Answers from a table, and keeps what it was asked."""

    def __init__(self):
        self.asked = []
        self.answers = {
            operator_messages.QueryStatus: operator_messages.FleetStatus(
                [], EMPTY_VIEW, 3, 1, b'd', 5, 6, 0, []
            ),
            operator_messages.RollBundle: operator_messages.CommandAccepted(
                9, False
            ),
            operator_messages.WithdrawKey: operator_messages.CommandAccepted(
                9, False
            ),
            operator_messages.QueryProgress: operator_messages.Progress(
                9, True, [], ['e2'], 1
            ),
        }

    def call(self, message, timeout_ms):
        self.asked.append(message)
        answer = self.answers[type(message)]
        if isinstance(answer, Exception):
            raise answer
        if isinstance(answer, list):
            return answer.pop(0)
        return answer


class CommandTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.control = FakeControl()
        self.key_file = self.folder / 'amina.pem'
        self.bundle_file = self.folder / 'b.yaml'
        self.execute(
            'approver create', approver='amina', private_key_file=self.key_file
        )
        key = signatures.load_private_key(self.key_file.read_bytes())
        self.bundle_file.write_text(
            BUNDLE.format(public_key=signatures.public_key_hex(key))
        )

    def execute(self, line, form='json', **fields):
        self.progress = io.StringIO()
        context = contexts.Context(
            lambda: self.control,
            clocks.ManualClock(),
            1_000,
            progress=self.progress,
            **{name: str(value) for name, value in fields.items()},
        )
        output = io.StringIO()
        code = commands.execute(line.split(), context, form, output)
        self.output = output.getvalue()
        return code

    def sign(self):
        return self.execute(
            f'bundle sign {self.bundle_file}',
            approver='amina',
            private_key_file=self.key_file,
        )

    def test_sign_and_roll_until_in_force(self):
        self.assertEqual(exits.OK, self.sign())
        self.assertEqual(
            exits.OK, self.execute(f'bundle roll {self.bundle_file}')
        )
        report = json.loads(self.output)
        self.assertTrue(report['in_force'])
        self.assertEqual(['e2'], report['evicted'])
        roll = self.control.asked[1]
        self.assertEqual(1, roll.expected_version)
        self.assertEqual(b'd', roll.expected_digest)
        signatures.check_signatures(roll.signed, roll.signed.bundle)

    def test_roll_shows_who_is_pending(self):
        pending = operator_messages.Progress(9, False, ['e1'], [], 2)
        done = operator_messages.Progress(9, True, [], [], 2)
        self.control.answers[operator_messages.QueryProgress] = [pending, done]
        self.execute(f'bundle roll {self.bundle_file}')
        self.assertIn('waiting for 1 of 2 hosts: e1', self.progress.getvalue())

    def test_roll_that_is_not_in_force_in_time(self):
        never = operator_messages.Progress(9, False, ['e1'], [], 2)
        self.control.answers[operator_messages.QueryProgress] = never
        code = self.execute(f'bundle roll {self.bundle_file}')
        self.assertEqual(exits.NOT_IN_FORCE, code)

    def test_conflict_and_missing_approval_have_their_exit_codes(self):
        for code, expected in (
            ('conflict', exits.CONFLICT),
            ('unapproved', exits.UNAPPROVED),
        ):
            self.control.answers[operator_messages.RollBundle] = (
                wire_errors.RemoteError(code, 'the detail')
            )
            got = self.execute(f'bundle roll {self.bundle_file}')
            self.assertEqual(expected, got)
            self.assertIn('the detail', self.progress.getvalue())

    def test_control_that_does_not_answer(self):
        self.control.answers[operator_messages.QueryStatus] = (
            membership_errors.MembershipError('no answer')
        )
        self.assertEqual(exits.UNAVAILABLE, self.execute('hosts'))

    def test_signature_of_other_contents_is_refused(self):
        self.sign()
        text = self.bundle_file.read_text()
        self.bundle_file.write_text(text.replace('_s: 10', '_s: 11'))
        code = self.execute(f'bundle roll {self.bundle_file}')
        self.assertEqual(exits.BAD_INPUT, code)
        self.assertIn('sign it again', self.progress.getvalue())

    def test_bad_bundle_lists_its_faults(self):
        self.bundle_file.write_text('version: 0\n')
        code = self.execute(f'bundle check {self.bundle_file}')
        self.assertEqual(exits.BAD_INPUT, code)
        self.assertIn('b.yaml:1: version', self.progress.getvalue())

    def test_withdraw_wants_a_digest_and_not_a_key(self):
        code = self.execute('key withdraw mq-secret')
        self.assertEqual(exits.USAGE, code)
        self.assertNotIn('mq-secret', self.progress.getvalue())
        self.assertEqual(exits.OK, self.execute('key withdraw ' + 'A' * 64))
        self.assertEqual('a' * 64, self.control.asked[0].key_digest)

    def test_issued_key_matches_its_digest(self):
        self.execute('key issue', workspace='kisumu')
        report = json.loads(self.output)
        self.assertEqual(
            signatures.digest_key(report['key']), report['digest']
        )

    def test_private_key_file_is_never_overwritten(self):
        code = self.execute(
            'approver create', approver='amina', private_key_file=self.key_file
        )
        self.assertEqual(exits.BAD_INPUT, code)

    def test_usage_and_refusals(self):
        entry = usage_messages.UsageEntry(
            'kisumu', 'style', 'prompt', 495_000, 2, 30, 40, 1, {'deadline': 1}
        )
        gap = usage_messages.UsageGap('e1', 7, 500)
        self.control.answers[usage_messages.QueryUsage] = (
            usage_messages.UsageReport([entry], [gap])
        )
        self.execute('usage', form='csv')
        self.assertIn('kisumu,style,prompt,2026-06-21T00:00Z,2', self.output)
        self.execute('refusals')
        report = json.loads(self.output)
        self.assertEqual(500, report['missing_tokens_at_most'])
        row = report['rows'][0]
        self.assertEqual(1, row['deadline'])
        self.assertEqual(1, row['within_rate'])

    def test_replica_is_added_and_removed(self):
        replica = operator_messages.ReplicaStatus(
            'c1', 'follower', 2, 9, '1.2.3.4:5'
        )
        changed = operator_messages.ReplicasChanged([replica])
        self.control.answers[operator_messages.AddReplica] = changed
        self.control.answers[operator_messages.RemoveReplica] = changed
        self.assertEqual(exits.OK, self.execute('replica add c1 1.2.3.4:5'))
        self.assertEqual('c1', json.loads(self.output)['rows'][0]['replica'])
        self.assertEqual(exits.USAGE, self.execute('replica add c1 nowhere'))
        self.assertEqual(exits.OK, self.execute('replica remove c1'))

    def test_change_that_is_refused_has_its_exit_code(self):
        self.control.answers[operator_messages.RemoveReplica] = (
            wire_errors.RemoteError(
                'replica-change', 'another change is under way'
            )
        )
        self.assertEqual(exits.CONFLICT, self.execute('replica remove c1'))

    def test_unknown_command_lists_all(self):
        self.assertEqual(exits.USAGE, self.execute('bundel'))
        self.assertIn('bundle roll', self.progress.getvalue())

    def test_hosts_as_text(self):
        self.execute('hosts', form='text')
        self.assertIn('e1', self.output)
