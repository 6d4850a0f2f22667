"""Tests of the record of attempts."""

import unittest

from masticquay_gateway import attempts
from masticquay_gateway import errors
from masticquay_gateway import exchanges


class AttemptRecordTest(unittest.TestCase):
    def setUp(self):
        self.record = attempts.AttemptRecord()

    def add(self, endpoint_id, error=None):
        """Records an attempt that ends with an error, or without one."""
        try:
            with self.record.sending(endpoint_id):
                if error is not None:
                    raise error
        except type(error or RuntimeError()):
            pass

    def test_request_without_attempts_has_not_run(self):
        self.assertFalse(self.record.may_have_run)

    def test_endpoint_not_reached_proves_that_the_request_has_not_run(self):
        self.add('e1', exchanges.NotSentError('refused'))
        self.assertFalse(self.record.may_have_run)

    def test_refusal_of_an_endpoint_proves_that_the_request_has_not_run(self):
        self.add('e1', errors.NotRunError('full', 503))
        self.assertFalse(self.record.may_have_run)

    def test_attempt_with_any_other_end_may_have_run(self):
        ends = [
            None,
            exchanges.EndpointError('reset'),
            exchanges.StalledError('silent'),
            exchanges.InterruptedCallError('caller disconnected'),
            errors.ResponseMismatchError('other request'),
            RuntimeError('fault'),
        ]
        for end in ends:
            with self.subTest(end=end):
                self.setUp()
                self.add('e1', end)
                self.assertTrue(self.record.may_have_run)

    def test_later_proof_does_not_cover_an_earlier_attempt(self):
        self.add('e1', exchanges.EndpointError('reset'))
        self.add('e2', errors.NotRunError('full', 503))
        self.assertTrue(self.record.may_have_run)

    def test_description_names_each_endpoint_with_its_proof(self):
        self.add('e1', errors.NotRunError('full', 503))
        self.add('e2', exchanges.NotSentError('refused'))
        self.add('e3', exchanges.EndpointError('reset'))
        self.assertEqual(
            [
                'e1: endpoint did not run it',
                'e2: no byte was sent',
                'e3: may have run',
            ],
            self.record.describe(),
        )
