"""Tests of digests and signatures."""

import unittest

from masticquay_bundles import errors
from masticquay_bundles import models
from masticquay_bundles import signatures
from tests import fixtures


class SignatureTest(unittest.TestCase):
    def setUp(self):
        self.key = signatures.generate_private_key()
        self.bundle = fixtures.make_bundle(
            public_key=signatures.public_key_hex(self.key)
        )

    def sign(self, *names: str) -> models.SignedBundle:
        signed = [
            signatures.sign_bundle(self.bundle, name, self.key)
            for name in names
        ]
        return models.SignedBundle(self.bundle, signed)

    def test_an_approver_suffices(self):
        signatures.check_signatures(self.sign('amina'), None)

    def test_unknown_approver_is_refused(self):
        with self.assertRaises(errors.SignatureError):
            signatures.check_signatures(self.sign('otieno'), None)

    def test_a_changed_bundle_is_refused(self):
        signed = self.sign('amina')
        signed.bundle.workspaces[0].rate_tokens_per_s += 1
        with self.assertRaises(errors.SignatureError):
            signatures.check_signatures(signed, None)

    def test_the_current_bundle_says_how_many_must_sign(self):
        current = fixtures.make_bundle(
            public_key=signatures.public_key_hex(self.key)
        )
        current.approvals_required = 2
        with self.assertRaisesRegex(errors.SignatureError, '1 of 2'):
            signatures.check_signatures(self.sign('amina', 'amina'), current)

    def test_a_new_bundle_cannot_name_its_own_approvers(self):
        other = signatures.generate_private_key()
        current = fixtures.make_bundle(
            public_key=signatures.public_key_hex(other)
        )
        with self.assertRaises(errors.SignatureError):
            signatures.check_signatures(self.sign('amina'), current)

    def test_private_key_survives_its_file_form(self):
        pem = signatures.dump_private_key(self.key)
        loaded = signatures.load_private_key(pem)
        self.assertEqual(
            signatures.public_key_hex(self.key),
            signatures.public_key_hex(loaded),
        )
        with self.assertRaises(errors.SignatureError):
            signatures.load_private_key(b'no key')

    def test_digest_is_stable_over_the_wire(self):
        again = models.Bundle.from_wire(self.bundle.to_wire())
        self.assertEqual(
            signatures.digest_bundle(self.bundle),
            signatures.digest_bundle(again),
        )
