"""Sends engines the orders that bring them to the state of the bundle."""

from concurrent import futures
import logging

from masticquay_bundles import models
from masticquay_control import errors
from masticquay_control import http_calls
from masticquay_control import leaderships
from masticquay_control import orders
from masticquay_control import state_machines
from masticquay_membership import operator_messages
from masticquay_wire import clocks

LOG = logging.getLogger(__name__)

# The name by which an engine that checks orderers accepts the orders.
ORDERER = 'masticquay'
IDLE_POLL_INTERVAL_MS = 15_000
ORDER_POLL_INTERVAL_MS = 500
POLL_TIMEOUT_MS = 1_000
WORKER_COUNT = 8
# An order to an engine that does not check orders must be delivered, or
# discarded, while the leader's lease lasts.
UNCHECKED_DEADLINE_MS = 400
CHECKED_DEADLINE_MS = 2_000
# An upper bound on the remaining lease of an earlier leader.
MAX_EARLIER_LEASE_MS = 1_000


class EngineReconciler:
    """Polls engines and orders the changes that the bundle demands.

    Only the acting leader sends orders. An engine that does not check both the
    fencing number and the orderer of an order could execute an order of a
    deposed leader. It gets an order only while this leader's lease outlasts
    the order's deadline, and only after the last order of an earlier leader
    has arrived or been discarded.
    """

    def __init__(
        self,
        state_machine: state_machines.ControlStateMachine,
        leadership: leaderships.Leadership,
        clock: clocks.Clock,
    ):
        self._state_machine = state_machine
        self._leadership = leadership
        self._clock = clock
        self._executor = futures.ThreadPoolExecutor(WORKER_COUNT, 'orders')
        self._records: dict[str, orders.EngineRecord] = {}
        self._store_reservations = orders.StoreReservations()
        self._fencing_number = 0
        self._bundle_index = 0
        self.sent_count = 0
        self.failed_count = 0

    def close(self) -> None:
        """Stops the worker threads."""
        self._executor.shutdown(wait=False, cancel_futures=True)

    def reconcile(self) -> None:
        """Polls the engines that are due, then sends all permitted orders."""
        with self._state_machine.lock:
            current = self._state_machine.bundles.current
            leaving = list(self._state_machine.endpoints.leaving)
        if current is None:
            return
        bundle = current.signed.bundle
        self._update_records(bundle, current.index)
        endpoints = [
            e for e in bundle.endpoints if e.kind == models.KIND_ENGINE
        ]
        self._poll_due(bundle, endpoints)
        # The minimum of serving engines is known only once all were polled.
        if any(self._records[e.name].polled_at_ms is None for e in endpoints):
            return
        for endpoint in endpoints:
            if not self._leadership.acting():
                return
            self._send_needed_order(bundle, endpoint, leaving)

    def engine_record(self, endpoint: str) -> orders.EngineRecord:
        """Returns the record of an engine, by the name of its endpoint.

        :returns: an empty record in ``STATE_UNKNOWN`` if there is none
        """
        record = self._records.get(endpoint)
        return record or orders.EngineRecord(endpoint)

    def _update_records(
        self, bundle: models.Bundle, bundle_index: int
    ) -> None:
        """Updates the records to the current leadership and bundle.

        A new leadership clears them; a new bundle makes a poll of every
        engine due.
        """
        if self._leadership.fencing_number != self._fencing_number:
            self._fencing_number = self._leadership.fencing_number
            self._records = {}
            self._store_reservations = orders.StoreReservations()
        names = [e.name for e in bundle.endpoints]
        self._records = {
            name: self._records.get(name) or orders.EngineRecord(name)
            for name in names
        }
        if bundle_index != self._bundle_index:
            self._bundle_index = bundle_index
            for record in self._records.values():
                record.polled_at_ms = None
                record.attempt = 0
                record.retry_at_ms = 0

    def _poll_due(
        self, bundle: models.Bundle, endpoints: list[models.Endpoint]
    ) -> None:
        now_ms = self._clock.now_ms()
        due = [e for e in endpoints if self._is_poll_due(e, now_ms)]
        polls = [self._executor.submit(self._poll, bundle, e) for e in due]
        futures.wait(polls)

    def _is_poll_due(self, endpoint: models.Endpoint, now_ms: int) -> bool:
        record = self._records[endpoint.name]
        if record.polled_at_ms is None:
            return True
        running = record.order is not None
        interval_ms = (
            ORDER_POLL_INTERVAL_MS if running else IDLE_POLL_INTERVAL_MS
        )
        return now_ms - record.polled_at_ms >= interval_ms

    def _poll(self, bundle: models.Bundle, endpoint: models.Endpoint) -> None:
        """Fetches what an engine serves, and the state of its order.

        If this leader has sent it no order, the poll looks for the order that
        the engine needs, since an earlier leader may have sent that.
        """
        record = self._records[endpoint.name]
        record.polled_at_ms = self._clock.now_ms()
        try:
            response = self._fetch(endpoint, '/v1/load')
            record.served = _parse_served_model(response)
        except errors.CallError:
            record.served = None
            record.order = None
            record.state = orders.STATE_UNREACHABLE
            return
        order = record.order or orders.next_order(
            bundle, self._bundle_index, endpoint, record
        )
        if order is None:
            record.state = orders.STATE_CURRENT
            return
        self._follow_order(bundle, endpoint, record, order)

    def _follow_order(
        self,
        bundle: models.Bundle,
        endpoint: models.Endpoint,
        record: orders.EngineRecord,
        order: orders.Order,
    ) -> None:
        """Updates a record by the state of an order at its engine."""
        try:
            response = self._fetch(endpoint, f'/v1/orders/{order.order_id}')
        except errors.CallError:
            return
        state = response.body.get('state')
        if response.status == 200 and state == 'running':
            if record.order is None:
                now_ms = self._clock.now_ms()
                self._store_reservations.reserve_all(
                    bundle, order.weights_bytes, now_ms
                )
            record.order = order
            record.state = orders.STATE_RUNNING
            return
        had_order = record.order is not None
        record.order = None
        if response.status == 200 and state == 'done':
            self._record_done(record, order)
        elif had_order or state == 'failed':
            self._record_failure(record)

    def _record_done(
        self, record: orders.EngineRecord, order: orders.Order
    ) -> None:
        if order.kind == orders.KIND_LOAD_ADAPTER:
            record.adapter_order_ids.add(order.order_id)
        elif not _is_fulfilled(record.served, order):
            record.attempt += 1
            record.retry_at_ms = self._clock.now_ms() + orders.RETRY_DELAY_MS
        record.polled_at_ms = None

    def _record_failure(self, record: orders.EngineRecord) -> None:
        if record.state != orders.STATE_FAILED:
            LOG.warning(
                'engine order failed; retrying',
                extra={'endpoint': record.name},
            )
        record.state = orders.STATE_FAILED
        record.retry_at_ms = self._clock.now_ms() + orders.RETRY_DELAY_MS
        self.failed_count += 1

    def _send_needed_order(
        self,
        bundle: models.Bundle,
        endpoint: models.Endpoint,
        leaving: list[str],
    ) -> None:
        """Sends an engine the order that it needs, if it may be sent now."""
        record = self._records[endpoint.name]
        now_ms = self._clock.now_ms()
        if record.order is not None or endpoint.name in leaving:
            return
        order = orders.next_order(bundle, self._bundle_index, endpoint, record)
        if order is None or now_ms < record.retry_at_ms:
            return
        if not orders.keeps_minimum(
            bundle, self._records, leaving, record, order
        ):
            record.state = orders.STATE_HELD
            return
        if not self._may_send_order(endpoint):
            return
        store = self._store_reservations.reserve(
            bundle, order.weights_bytes, now_ms
        )
        if store is None:
            record.state = orders.STATE_HELD
            return
        self._send_order(endpoint, record, order, store)

    def _may_send_order(self, endpoint: models.Endpoint) -> bool:
        if not self._leadership.acting():
            return False
        if endpoint.checks_fencing and endpoint.checks_orderer:
            return True
        min_acting_ms = MAX_EARLIER_LEASE_MS + UNCHECKED_DEADLINE_MS
        return (
            self._leadership.acting_ms >= min_acting_ms
            and self._leadership.lease_remaining_ms() > UNCHECKED_DEADLINE_MS
        )

    def _send_order(
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
        record.polled_at_ms = self._clock.now_ms()
        self.sent_count += 1
        try:
            response = http_calls.call(
                endpoint.address,
                'POST',
                '/v1/orders',
                body,
                deadline_ms,
                lambda: self._may_send_order(endpoint),
            )
        except errors.CallError:
            # The order may have arrived; the next poll shows whether it did.
            return
        if response.status not in (200, 202):
            self._handle_refusal(endpoint, record, response)
            if store:
                self._store_reservations.release(store, self._clock.now_ms())

    def _handle_refusal(
        self,
        endpoint: models.Endpoint,
        record: orders.EngineRecord,
        response: http_calls.JsonResponse,
    ) -> None:
        record.order = None
        self._record_failure(record)
        LOG.warning(
            'engine refused an order',
            extra={'endpoint': endpoint.name, 'status': response.status},
        )

    def _fetch(
        self, endpoint: models.Endpoint, path: str
    ) -> http_calls.JsonResponse:
        return http_calls.call(
            endpoint.address, 'GET', path, None, POLL_TIMEOUT_MS
        )


def _parse_served_model(
    response: http_calls.JsonResponse,
) -> orders.ServedModel:
    body = response.body
    roles = body.get('roles')
    if response.status != 200 or not isinstance(roles, list):
        raise errors.CallError(
            f'invalid response to /v1/load: status {response.status}'
        )
    return orders.ServedModel(
        str(body.get('model')), str(body.get('version')), roles
    )


def _is_fulfilled(
    served: orders.ServedModel | None, order: orders.Order
) -> bool:
    if served is None:
        return False
    if order.kind == orders.KIND_CHANGE_ROLE:
        return sorted(served.roles) == sorted(order.roles)
    return (served.model, served.version) == (order.model, order.version)


def endpoint_status(
    record: orders.EngineRecord, listed_state: str
) -> operator_messages.EndpointStatus:
    """Returns the status of an endpoint for operators.

    :param listed_state: the endpoint's state in the platform list
    """
    version = record.served.version if record.served is not None else ''
    return operator_messages.EndpointStatus(
        record.name, listed_state, version, record.state
    )
