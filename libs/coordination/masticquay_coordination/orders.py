"""Sending of orders to engines, which only the leader may do."""

import functools
import logging
import random

from masticquay_consensus import nodes
from masticquay_coordination import errors
from masticquay_coordination import ports
from masticquay_routing import balances
from masticquay_routing import endpoint_notices
from masticquay_wire import clocks

LOG = logging.getLogger(__name__)

# An order is sent only while the lease lasts at least this much longer, so
# that it does not end before the order is delivered.
MIN_LEASE_MS = 300


class OrderSender:
    """Sends orders while this replica holds the leader's lease.

    :param holder: the name of this replica
    """

    def __init__(
        self,
        node: nodes.Node,
        holder: str,
        engine_orders: ports.EngineOrders,
        clock: clocks.Clock,
    ):
        self._node = node
        self._holder = holder
        self._engine_orders = engine_orders
        self._clock = clock
        self._pauses = endpoint_notices.Pauses(random.Random())

    def send(self, order: balances.RoleOrder, term: int) -> bool:
        """Sends one order; the caller plans it again if that failed.

        :returns: whether the engine accepted it
        """
        if not self._may_send(term):
            return False
        now_ms = self._clock.now_ms()
        if self._pauses.remaining_ms(order.endpoint.endpoint_id, now_ms):
            return False
        log_fields = {
            'endpoint': order.endpoint.endpoint_id,
            'address': order.endpoint.address,
            'role': order.role,
            'fence': term,
        }
        try:
            self._engine_orders.change_role(
                order.endpoint,
                order.role,
                self._holder,
                term,
                functools.partial(self._may_send, term),
            )
        except errors.OrderError as cause:
            LOG.warning(
                'engine order failed',
                extra={
                    **log_fields,
                    'cause': str(cause),
                    'pause_ms': cause.pause_ms,
                },
            )
            if cause.pause_ms:
                self._pauses.add(
                    order.endpoint.endpoint_id, cause.pause_ms, now_ms
                )
            return False
        LOG.info('order accepted by the engine', extra=log_fields)
        return True

    def _may_send(self, term: int) -> bool:
        """Whether this replica leads and will while an order is delivered.

        It is asked again once the engine has reported and is connected to:
        both take time, and the process may have been suspended meanwhile.
        """
        return (
            self._node.term() == term
            and self._node.lease_remaining_ms() >= MIN_LEASE_MS
        )
