"""Operators' access to the routing table."""

import logging
import time
import typing

from masticquay_consensus import nodes
from masticquay_coordination import proposals
from masticquay_coordination import table_machines
from masticquay_routing import tables

LOG = logging.getLogger(__name__)

# Hosts are waited for until so long after a change arrived. Operators that get
# no answer within a second send it again to another replica.
HOSTS_WAIT_S = 0.8

# Waits until no host with a session lacks a version, for so many seconds at
# most; returns whether none does.
WaitForHosts = typing.Callable[[int, float], bool]


class TableService:
    """Stores and returns operators' documents; works only on the leader.

    :param wait_for_hosts: see ``WaitForHosts``
    """

    def __init__(
        self,
        node: nodes.Node,
        machine: table_machines.TableMachine,
        reader: tables.TableReader,
        wait_for_hosts: WaitForHosts,
    ):
        self._node = node
        self._machine = machine
        self._reader = reader
        self._wait_for_hosts = wait_for_hosts

    def put(self, document: bytes) -> int:
        """Validates and stores a document.

        Returns once it is committed and in force at all hosts with a session,
        or some time after the commit: a slow delivery delays the answer, but
        does not withhold it. A version that is not higher than the stored one
        changes nothing.

        :returns: the version of the document
        :raises TableError: when the document is invalid
        :raises NotServingError: when nothing was stored
        :raises UnknownOutcomeError: when it may have been stored
        """
        hosts_due_s = time.monotonic() + HOSTS_WAIT_S
        table = self._reader.read(document)
        proposals.confirm_leadership(self._node)
        self._commit(table, document)
        is_in_force = self._wait_for_hosts(
            table.version, max(0.0, hosts_due_s - time.monotonic())
        )
        if not is_in_force:
            LOG.warning(
                'table acknowledged before all hosts have it',
                extra={'version': table.version},
            )
        return table.version

    def _commit(self, table: tables.Table, document: bytes) -> None:
        """Stores a document unless its version is not above the stored one."""
        if table.version <= self._machine.version:
            LOG.info(
                'table ignored; its version is not above the stored one',
                extra={
                    'version': table.version,
                    'held_version': self._machine.version,
                },
            )
            return
        command = table_machines.encode_put(table.version, document)
        proposals.commit(self._node, command, {'version': table.version})
        LOG.info(
            'table stored',
            extra={
                'version': table.version,
                'routes': len(table.routes),
                'term': self._node.term(),
            },
        )

    def get(self) -> bytes | None:
        """Returns the newest document, None if none was stored yet.

        :raises NotServingError: when this replica is not the leader and may
            not have the newest one
        """
        proposals.confirm_leadership(self._node)
        stored = self._machine.stored
        return stored.decompress() if stored else None
