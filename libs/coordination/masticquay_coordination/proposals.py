"""Commits operators' orders to the log of the control group."""

from concurrent import futures
import logging

from masticquay_consensus import errors as consensus_errors
from masticquay_consensus import nodes
from masticquay_coordination import errors

LOG = logging.getLogger(__name__)

COMMIT_TIMEOUT_S = 2.5


def confirm_leadership(node: nodes.Node) -> None:
    """Checks that this replica leads and knows what is committed.

    :raises NotServingError: with the address of the leader, if it is known
    """
    try:
        node.read_barrier()
    except consensus_errors.NotLeaderError as cause:
        leader = node.leader()
        raise errors.NotServingError(
            'does not lead', leader.address if leader else ''
        ) from cause


def commit(
    node: nodes.Node, command: bytes, fields: dict[str, object]
) -> None:
    """Commits a command.

    :param fields: name the order in the log
    :raises NotServingError: when nothing was stored
    :raises UnknownOutcomeError: when it may have been stored
    """
    try:
        node.propose(command).result(COMMIT_TIMEOUT_S)
    except consensus_errors.NotLeaderError as cause:
        raise errors.NotServingError(
            'leads no more', cause.leader_address
        ) from cause
    except (consensus_errors.ConsensusError, futures.TimeoutError) as cause:
        LOG.warning(
            "outcome of an operator's order is unknown",
            extra={**fields, 'cause': type(cause).__name__},
        )
        raise errors.UnknownOutcomeError(str(cause)) from cause
