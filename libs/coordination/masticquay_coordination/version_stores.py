"""The software versions at which streams may have begun, kept in the log."""

from concurrent import futures
import logging

from masticquay_consensus import errors as consensus_errors
from masticquay_consensus import nodes
from masticquay_coordination import leader_terms
from masticquay_coordination import table_machines
from masticquay_routing import fleets
from masticquay_routing import software_versions

LOG = logging.getLogger(__name__)

COMMIT_TIMEOUT_S = 1.0


def store_versions(
    node: nodes.Node,
    machine: table_machines.TableMachine,
    term: leader_terms.LeaderTerm,
    endpoints: list[fleets.Endpoint],
    now_ms: int,
) -> bool:
    """Stores the versions at which streams may begin from now on.

    They are committed before the hosts get the endpoint list, so that a
    stream never begins at a version that the next leader does not know.

    :returns: whether the list may be sent to the hosts
    """
    if term.software_versions is None:
        known = {} if term.first else machine.software_versions
        term.software_versions = software_versions.SoftwareVersions(
            known, now_ms
        )
    term.software_versions.record(endpoints, now_ms)
    possible = term.software_versions.possible(now_ms)
    if possible is None or possible == machine.software_versions:
        return True
    command = table_machines.encode_software_versions(possible)
    try:
        node.propose(command).result(COMMIT_TIMEOUT_S)
    except (
        consensus_errors.ConsensusError,
        futures.TimeoutError,
    ) as cause:
        LOG.warning(
            'software versions could not be stored',
            extra={'cause': type(cause).__name__, 'versions': possible},
        )
        return False
    LOG.info('software versions stored', extra={'versions': possible})
    return True
