"""Tests of what hosts keep of the streams of others."""

import unittest

from masticquay_coordination import origin_copies
from masticquay_routing import stream_origins

TWO_VERSIONS = {'llm': ['v1', 'v2'], 'other': ['v1']}
ONE_VERSION = {'llm': ['v2'], 'other': ['v1']}
HOSTS = [f'h{n}' for n in range(6)]


class CopiedOriginsTest(unittest.TestCase):
    def setUp(self):
        self.now_ms = 1_000
        self.origins = origin_copies.CopiedOrigins()
        self.origins.set_versions(TWO_VERSIONS, self.now_ms)

    def begin(self, call_id='c1', host='h0', service='llm'):
        origin = stream_origins.StreamOrigin(call_id, service, 'v1')
        self.origins.add(origin, host, self.now_ms)

    def take(self, host):
        """Returns the ids of the streams that a host should keep."""
        taken = self.origins.take_for(host, self.now_ms)
        return [origin.call_id for origin in taken]

    def holders(self, hosts):
        """Returns those of the hosts that get the origin."""
        return [host for host in hosts if self.take(host)]

    def test_next_hosts_that_renew_keep_an_origin(self):
        self.begin()
        count = origin_copies.HOLDERS - 1
        self.assertEqual(HOSTS[1:][:count], self.holders(HOSTS))
        self.assertEqual([], self.holders(HOSTS))

    def test_no_host_gets_an_origin_twice(self):
        """A host that finds a leader renews twice at once."""
        self.begin()
        self.assertEqual(['h1', 'h2'], self.holders(['h1', 'h1', 'h2', 'h2']))

    def test_host_that_began_a_stream_gets_it_if_that_is_not_known(self):
        """It began while one version served, which needed no copies."""
        self.origins.set_versions(ONE_VERSION, self.now_ms)
        self.begin()
        self.assertEqual([], self.holders(HOSTS))
        self.origins.set_versions(TWO_VERSIONS, self.now_ms)
        self.assertEqual(HOSTS[: origin_copies.HOLDERS], self.holders(HOSTS))

    def test_no_copies_are_made_where_one_version_is_possible(self):
        self.begin(service='other')
        self.assertEqual([], self.take('h1'))

    def test_no_copies_are_made_before_the_list_is_read(self):
        """All hosts tell a new leader of all streams at once."""
        self.origins = origin_copies.CopiedOrigins()
        self.begin()
        self.assertEqual([], self.take('h1'))

    def test_copies_are_made_while_versions_are_unknown(self):
        """The log of an earlier release has none."""
        self.origins.set_versions(None, self.now_ms)
        self.begin()
        self.assertEqual(['c1'], self.take('h1'))

    def test_copies_end_with_the_second_version(self):
        self.begin()
        self.origins.set_versions(ONE_VERSION, self.now_ms)
        self.assertEqual([], self.take('h1'))

    def test_stream_that_is_taken_up_is_not_copied_again(self):
        self.begin()
        self.holders(HOSTS)
        self.begin(host='h5')
        self.assertEqual([], self.holders(HOSTS))

    def test_few_hosts_are_not_waited_for(self):
        """Else each renewal would look at all recent streams."""
        self.begin()
        self.now_ms += origin_copies.COPY_TIME_MS + 1
        self.assertEqual([], self.take('h1'))
        self.assertIsNotNone(self.origins.find('c1', self.now_ms))

    def test_many_origins_go_with_several_answers(self):
        count = origin_copies.MAX_ORIGINS_IN_ANSWER + 1
        for number in range(count):
            self.begin(f'c{number}')
        self.assertEqual(count - 1, len(self.take('h1')))
        self.assertEqual(1, len(self.take('h1')))
