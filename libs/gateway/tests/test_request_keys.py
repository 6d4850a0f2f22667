"""Tests of the keys by which requests are known."""

import unittest

from masticquay_gateway import request_keys
from tests import fakes


def make_job(body=b'b', target='/x', api_key='k1', call_id='c1'):
    job = fakes.make_job(fakes.make_route(), call_id=call_id)
    job.request.body = body
    job.request.target = target
    job.call.api_key = api_key
    return job


class KeyOfTest(unittest.TestCase):
    def test_request_that_comes_again_has_the_same_key(self):
        first = request_keys.key_of(make_job())
        again = request_keys.key_of(make_job(call_id='c2'))
        self.assertEqual(first, again)

    def test_path_caller_and_body_tell_requests_apart(self):
        keys = {
            request_keys.key_of(job)
            for job in (
                make_job(),
                make_job(body=b'c'),
                make_job(target='/y'),
                make_job(api_key='k2'),
                make_job(target='/xk', api_key='1'),
            )
        }
        self.assertEqual(5, len(keys))

    def test_prompt_and_request_have_different_keys(self):
        job = make_job()
        self.assertNotEqual(
            request_keys.key_of(job), request_keys.prompt_key_of(job)
        )
