"""Tests of placing requests with and without the leader."""

from concurrent import futures
import unittest
from unittest import mock

from masticquay_endpoints import interrupts
from masticquay_gateway import fleet_states
from masticquay_gateway import leaderless_rates
from masticquay_gateway import placers
from masticquay_routing import fleets
from masticquay_routing import messages
from masticquay_routing import placement_messages
from masticquay_routing import stream_origins
from masticquay_wire import errors as wire_errors
from tests import test_fleet_states
from tests import test_leaderless_loads


class FakeLink:
    """A link to a leader that gives ``answer``, None while there is none."""

    def __init__(self):
        self.answer = None
        self.notices = []

    @property
    def is_leader_reachable(self):
        return self.answer is not None

    def wait_for_leader(self, timeout_ms):
        return self.is_leader_reachable

    def submit(self, message, timeout_ms):
        future = futures.Future()
        if isinstance(self.answer, Exception):
            future.set_exception(self.answer)
        else:
            future.set_result(self.answer)
        return future

    def notify(self, message):
        self.notices.append(message)


def make_engine(number, version):
    return fleets.Endpoint(
        f'e{number}',
        'llm',
        f'127.0.0.1:{number}',
        'p',
        32,
        False,
        fleets.ROLE_DECODE,
        version,
    )


class PlacerCase(unittest.TestCase):
    def setUp(self):
        state = fleet_states.FleetState(
            test_leaderless_loads.EngineTableReader()
        )
        state.apply_table(test_fleet_states.make_update(1))
        engines = [make_engine(1, 'v1'), make_engine(2, 'v1')]
        state.apply_endpoints(
            messages.EndpointUpdate(1, 1, engines, {'llm': ['v1']})
        )
        self.state = state
        self.link = FakeLink()
        self.placer = placers.Placer('h', self.link, state)

    def place(self, **fields):
        request = test_leaderless_loads.make_admit('h')
        request.resumes = True
        for name, value in fields.items():
            setattr(request, name, value)
        return self.placer.place(request, interrupts.Interrupt())


class LeftToHostTest(PlacerCase):
    # Guards against model requests that are refused while the leader can't
    # read the list of endpoints (review/10): hosts have theirs.
    def test_host_places_what_the_leader_charged_and_left_to_it(self):
        self.link.answer = wire_errors.RemoteError(
            messages.CODE_NO_ENDPOINTS, ''
        )
        with mock.patch.object(
            leaderless_rates.LeaderlessRates, 'charge', self.fail
        ):
            placement = self.place(resumes=False)
        self.assertTrue(placement.local)


class ResumptionTest(PlacerCase):
    # Guards against ORDER on a host that is cut off from control: others may
    # have begun the stream at a version that this host has not heard of.
    def test_stream_of_another_host_is_refused_without_the_leader(self):
        refused = self.place(first_call_id='c0')
        self.assertIsInstance(refused, placement_messages.Refused)
        self.assertEqual(placers.ORIGIN_RETRY_MS, refused.retry_after_ms)

    def test_stream_without_a_named_request_goes_on_at_the_only_version(self):
        placement = self.place()
        self.assertEqual('v1', placement.decode.software_version)

    def test_stream_that_began_here_goes_on_without_the_leader(self):
        placement = self.place(first_call_id='c0', software_version='v1')
        self.assertEqual('v1', placement.decode.software_version)

    # Guards against LOST, where nobody knew a stream any more whose host and
    # leader were lost at once.
    def test_next_leader_is_told_of_kept_origins(self):
        origin = stream_origins.StreamOrigin('c1', 'llm', 'v1')
        self.placer.keep_origins([origin])
        self.assertEqual([origin], self.placer.recent_origins())

    def test_kept_origin_does_not_replace_a_known_one(self):
        origins = [
            stream_origins.StreamOrigin('c1', 'llm', version)
            for version in ('v1', 'v2')
        ]
        for origin in origins:
            self.placer.keep_origins([origin])
        self.assertEqual(origins[:1], self.placer.recent_origins())

    # Guards against ORDER: the leader placed by an older list than this host
    # has.
    def test_placement_on_another_version_is_given_back(self):
        self.link.answer = placement_messages.Placed('', 'e1', 0, 'v2')
        refused = self.place(first_call_id='c0')
        self.assertIsInstance(refused, placement_messages.Refused)
        self.assertIsInstance(
            self.link.notices[-1], placement_messages.Finished
        )

    def test_placement_by_a_leader_of_an_earlier_release_is_checked(self):
        """It names no version, and its endpoint list has none."""
        engines = [make_engine(1, ''), make_engine(2, '')]
        self.state.apply_endpoints(messages.EndpointUpdate(2, 1, engines))
        self.link.answer = placement_messages.Placed('', 'e1', 0)
        self.assertEqual(
            'e1', self.place(first_call_id='c0').decode.endpoint_id
        )


class LeaderFoundTest(PlacerCase):
    # Guards against a request that the new leader takes for ended, as the
    # lost one was told.
    def test_leader_that_is_found_is_asked_with_another_number(self):
        self.link.answer = placement_messages.Placed('', 'e1', 0, 'v1')
        asked = []
        self.link.submit = lambda message, timeout_ms: self.answer_second(
            asked, message.number
        )
        with mock.patch.object(
            self.placer._rates,
            'charge',
            return_value=leaderless_rates.Charge(0, '', leader_found=True),
        ):
            placement = self.place(first_call_id='c0', software_version='v1')
        self.assertEqual('e1', placement.decode.endpoint_id)
        self.assertNotEqual(*asked)
        self.assertEqual(
            [placement.request.number], self.placer.held_requests().numbers
        )

    def answer_second(self, asked, number):
        asked.append(number)
        future = futures.Future()
        if len(asked) == 1:
            future.set_exception(wire_errors.PeerUnavailableError('lost'))
        else:
            future.set_result(self.link.answer)
        return future


class HeldRequestsTest(PlacerCase):
    """What the host tells the leader of the requests that it places."""

    # Guards against STARVED by a request that the host no longer knows, and
    # against one that loses its place while it runs.
    def test_request_is_held_until_it_is_released(self):
        placement = self.place(first_call_id='c0', software_version='v1')
        number = placement.request.number
        self.assertEqual([number], self.placer.held_requests().numbers)
        self.placer.release(placement, True)
        self.assertEqual([], self.placer.held_requests().numbers)

    def test_request_that_is_refused_is_not_held(self):
        self.place(first_call_id='c0')
        self.assertEqual([], self.placer.held_requests().numbers)
