"""Gives the engines their orders while this replica acts as leader."""

from concurrent import futures
import logging

from masticquay_bundles import models
from masticquay_control import errors
from masticquay_control import http_calls
from masticquay_control import leaderships
from masticquay_control import machines
from masticquay_control import orders
from masticquay_membership import operator_messages
from masticquay_wire import clocks

LOG = logging.getLogger(__name__)

ORDERER = 'masticquay'
AUDIT_INTERVAL_MS = 15_000
RUNNING_POLL_MS = 500
POLL_TIMEOUT_MS = 1_000
WORKERS = 8
# An unchecked order must have arrived, or be dropped, within the lease.
UNCHECKED_DEADLINE_MS = 400
CHECKED_DEADLINE_MS = 2_000
# No lease of an earlier leader can last longer.
OLD_LEASE_MS = 1_000


class OrderRunner:
    """Polls engines and orders what the bundle demands of them.

    An engine that checks neither fencing numbers nor who gives the order
    gets one only while the lease outlasts the order's deadline, and not
    before an earlier leader's last order has arrived or been dropped.
    """

    def __init__(
        self,
        machine: machines.ControlMachine,
        leadership: leaderships.Leadership,
        clock: clocks.Clock,
    ):
        self._machine = machine
        self._leadership = leadership
        self._clock = clock
        self._pool = futures.ThreadPoolExecutor(WORKERS, 'orders')
        self._records: dict[str, orders.EngineRecord] = {}
        self._stores = orders.Stores()
        self._fencing_number = 0
        self._bundle_index = 0
        self.given_count = 0
        self.failed_count = 0

    def close(self) -> None:
        """Ends the worker threads."""
        self._pool.shutdown(wait=False, cancel_futures=True)

    def run_once(self) -> None:
        """Polls what is due, then gives the orders that may be given."""
        with self._machine.lock:
            current = self._machine.bundles.current
            leaving = list(self._machine.endpoints.leaving)
        if current is None:
            return
        bundle = current.signed.bundle
        self._begin(bundle, current.index)
        engines = [e for e in bundle.endpoints if e.kind == models.KIND_ENGINE]
        self._poll_due(bundle, engines)
        if any(self._records[e.name].polled_ms is None for e in engines):
            return
        for endpoint in engines:
            if not self._leadership.acting():
                return
            self._consider(bundle, endpoint, leaving)

    def report(self, endpoint: str) -> orders.EngineRecord:
        """Returns what is known of an engine."""
        found = self._records.get(endpoint)
        return found or orders.EngineRecord(endpoint)

    def _begin(self, bundle: models.Bundle, bundle_index: int) -> None:
        """Forgets all in a new leadership; polls all for a new bundle."""
        if self._leadership.fencing_number != self._fencing_number:
            self._fencing_number = self._leadership.fencing_number
            self._records = {}
            self._stores = orders.Stores()
        names = [e.name for e in bundle.endpoints]
        self._records = {
            name: self._records.get(name) or orders.EngineRecord(name)
            for name in names
        }
        if bundle_index != self._bundle_index:
            self._bundle_index = bundle_index
            for record in self._records.values():
                record.polled_ms = None
                record.attempt = 0
                record.retry_ms = 0

    def _poll_due(
        self, bundle: models.Bundle, engines: list[models.Endpoint]
    ) -> None:
        now_ms = self._clock.now_ms()
        due = [e for e in engines if self._is_due(e, now_ms)]
        polls = [self._pool.submit(self._poll, bundle, e) for e in due]
        futures.wait(polls)

    def _is_due(self, endpoint: models.Endpoint, now_ms: int) -> bool:
        record = self._records[endpoint.name]
        if record.polled_ms is None:
            return True
        running = record.order is not None
        pause_ms = RUNNING_POLL_MS if running else AUDIT_INTERVAL_MS
        return now_ms - record.polled_ms >= pause_ms

    def _poll(self, bundle: models.Bundle, endpoint: models.Endpoint) -> None:
        """Asks an engine what it serves, and how its order stands."""
        record = self._records[endpoint.name]
        record.polled_ms = self._clock.now_ms()
        try:
            answer = self._get(endpoint, '/v1/load')
            record.load = _read_load(answer)
        except errors.OrderError:
            record.load = None
            record.order = None
            record.state = orders.STATE_UNREACHABLE
            return
        wanted = record.order or orders.next_order(
            bundle, self._bundle_index, endpoint, record
        )
        if wanted is None:
            record.state = orders.STATE_CURRENT
            return
        self._follow_order(bundle, endpoint, record, wanted)

    def _follow_order(
        self,
        bundle: models.Bundle,
        endpoint: models.Endpoint,
        record: orders.EngineRecord,
        order: orders.Order,
    ) -> None:
        try:
            answer = self._get(endpoint, f'/v1/orders/{order.order_id}')
        except errors.OrderError:
            return
        state = answer.body.get('state')
        if answer.status == 200 and state == 'running':
            if record.order is None:
                now_ms = self._clock.now_ms()
                self._stores.block(bundle, order.weights_bytes, now_ms)
            record.order = order
            record.state = orders.STATE_RUNNING
            return
        had_order = record.order is not None
        record.order = None
        if answer.status == 200 and state == 'done':
            self._note_done(record, order)
        elif had_order or state == 'failed':
            self._note_failed(record)

    def _note_done(
        self, record: orders.EngineRecord, order: orders.Order
    ) -> None:
        if order.kind == orders.KIND_LOAD_ADAPTER:
            record.adapters.add(order.order_id)
        elif not _fulfils(record.load, order):
            record.attempt += 1
            record.retry_ms = self._clock.now_ms() + orders.RETRY_MS
        record.polled_ms = None

    def _note_failed(self, record: orders.EngineRecord) -> None:
        if record.state != orders.STATE_FAILED:
            LOG.warning('order failed', extra={'endpoint': record.name})
        record.state = orders.STATE_FAILED
        record.retry_ms = self._clock.now_ms() + orders.RETRY_MS
        self.failed_count += 1

    def _consider(
        self,
        bundle: models.Bundle,
        endpoint: models.Endpoint,
        leaving: list[str],
    ) -> None:
        """Gives an engine the order it needs, if that may be done now."""
        record = self._records[endpoint.name]
        now_ms = self._clock.now_ms()
        if record.order is not None or endpoint.name in leaving:
            return
        order = orders.next_order(bundle, self._bundle_index, endpoint, record)
        if order is None or now_ms < record.retry_ms:
            return
        if not orders.keeps_minimum(
            bundle, self._records, leaving, record, order
        ):
            record.state = orders.STATE_HELD
            return
        if not self._may_order(endpoint):
            return
        store = self._stores.reserve(bundle, order.weights_bytes, now_ms)
        if store is None:
            record.state = orders.STATE_HELD
            return
        self._give(endpoint, record, order, store)

    def _may_order(self, endpoint: models.Endpoint) -> bool:
        if not self._leadership.acting():
            return False
        if endpoint.checks_fencing and endpoint.checks_orderer:
            return True
        waited_ms = OLD_LEASE_MS + UNCHECKED_DEADLINE_MS
        return (
            self._leadership.held_ms >= waited_ms
            and self._leadership.lease_remaining_ms() > UNCHECKED_DEADLINE_MS
        )

    def _give(
        self,
        endpoint: models.Endpoint,
        record: orders.EngineRecord,
        order: orders.Order,
        store: str,
    ) -> None:
        checked = endpoint.checks_fencing and endpoint.checks_orderer
        deadline_ms = CHECKED_DEADLINE_MS if checked else UNCHECKED_DEADLINE_MS
        body = {
            'order_id': order.order_id,
            'fencing_number': self._fencing_number,
            'orderer': ORDERER,
            'kind': order.kind,
            'model': order.model,
            'version': order.version,
            'adapter': order.adapter,
            'roles': order.roles,
            'store': store,
        }
        record.order = order
        record.state = orders.STATE_RUNNING
        record.polled_ms = self._clock.now_ms()
        self.given_count += 1
        try:
            answer = http_calls.call(
                endpoint.address,
                'POST',
                '/v1/orders',
                body,
                deadline_ms,
                lambda: self._may_order(endpoint),
            )
        except errors.OrderError:
            # It may have arrived: the next poll finds out.
            return
        if answer.status not in (200, 202):
            self._take_refusal(endpoint, record, answer)
            if store:
                self._stores.release(store, self._clock.now_ms())

    def _take_refusal(
        self,
        endpoint: models.Endpoint,
        record: orders.EngineRecord,
        answer: http_calls.JsonAnswer,
    ) -> None:
        record.order = None
        self._note_failed(record)
        LOG.warning(
            'order refused',
            extra={'endpoint': endpoint.name, 'status': answer.status},
        )

    def _get(
        self, endpoint: models.Endpoint, path: str
    ) -> http_calls.JsonAnswer:
        return http_calls.call(
            endpoint.address, 'GET', path, None, POLL_TIMEOUT_MS
        )


def _read_load(answer: http_calls.JsonAnswer) -> orders.EngineLoad:
    body = answer.body
    roles = body.get('roles')
    if answer.status != 200 or not isinstance(roles, list):
        raise errors.OrderError(f'no load: status {answer.status}')
    return orders.EngineLoad(
        str(body.get('model')), str(body.get('version')), roles
    )


def _fulfils(load: orders.EngineLoad | None, order: orders.Order) -> bool:
    if load is None:
        return False
    if order.kind == orders.KIND_CHANGE_ROLE:
        return sorted(load.roles) == sorted(order.roles)
    return (load.model, load.version) == (order.model, order.version)


def describe(
    record: orders.EngineRecord, listed: str
) -> operator_messages.EndpointStatus:
    """Returns an engine's line of the fleet's status."""
    version = record.load.version if record.load is not None else ''
    return operator_messages.EndpointStatus(
        record.name, listed, version, record.state
    )
