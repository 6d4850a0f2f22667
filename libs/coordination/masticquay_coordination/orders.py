"""Orders to engines, given by the leader alone."""

import logging

from masticquay_consensus import nodes
from masticquay_coordination import errors
from masticquay_coordination import ports
from masticquay_routing import balances

LOG = logging.getLogger(__name__)

# The lease must outlast the delivery of an order.
LEASE_NEEDED_MS = 300


class OrderGiver:
    """Gives orders while this replica certainly leads.

    :param holder: this replica's name
    """

    def __init__(
        self, node: nodes.Node, holder: str, engine_orders: ports.EngineOrders
    ):
        self._node = node
        self._holder = holder
        self._orders = engine_orders

    def give(self, order: balances.RoleOrder, term: int) -> bool:
        """Gives one order; a failed one is planned again later.

        :returns: whether it was accepted
        """
        if self._node.term() != term:
            return False
        if self._node.lease_remaining_ms() < LEASE_NEEDED_MS:
            return False
        details = {
            'endpoint': order.endpoint.endpoint_id,
            'address': order.endpoint.address,
            'role': order.role,
            'fence': term,
        }
        try:
            self._orders.change_role(
                order.endpoint, order.role, self._holder, term
            )
        except errors.OrderError as cause:
            LOG.warning(
                'order without effect', extra={**details, 'cause': str(cause)}
            )
            return False
        LOG.info('order accepted', extra=details)
        return True
