"""Operators' access to the evacuated places."""

import logging
import time
import typing

from masticquay_consensus import nodes
from masticquay_coordination import proposals
from masticquay_coordination import table_machines

LOG = logging.getLogger(__name__)

# Hosts are waited for until so long after an order arrived. Each second above
# the first one before the acknowledgement counts against the operators' goals.
HOSTS_WAIT_S = 0.8
MAX_NAMED_HOSTS = 8

# Waits until no host with a session lacks a change, for so many seconds at
# most; returns the hosts that do, None if the change was not sent to any.
WaitForHosts = typing.Callable[[int, float], list[str] | None]


class EvacuationService:
    """Evacuates places and takes that back; works only on the leader.

    :param wait_for_hosts: see ``WaitForHosts``
    """

    def __init__(
        self,
        node: nodes.Node,
        machine: table_machines.TableMachine,
        wait_for_hosts: WaitForHosts,
    ):
        self._node = node
        self._machine = machine
        self._wait_for_hosts = wait_for_hosts

    def order(self, place: str, is_evacuated: bool) -> None:
        """Evacuates a place, or takes that back.

        Returns once it is committed and in force at all hosts with a session,
        or some time after the commit, as for a table. An order that was given
        before changes nothing, and waits for the same hosts.

        :raises NotServingError: when nothing was stored
        :raises UnknownOutcomeError: when it may have been stored
        """
        hosts_due_s = time.monotonic() + HOSTS_WAIT_S
        proposals.confirm_leadership(self._node)
        fields = {'place': place, 'evacuated': is_evacuated}
        if (place in self._machine.evacuations.places) == is_evacuated:
            LOG.info('evacuation order repeats the state', extra=fields)
        else:
            self._commit(place, is_evacuated, fields)
        number = self._machine.evacuations.number
        if not number:
            return
        lacking = self._wait_for_hosts(
            number, max(0.0, hosts_due_s - time.monotonic())
        )
        if lacking is None or lacking:
            named = None if lacking is None else lacking[:MAX_NAMED_HOSTS]
            LOG.warning(
                'evacuation order acknowledged before all hosts have it',
                extra={**fields, 'number': number, 'entry_hosts': named},
            )

    def _commit(
        self, place: str, is_evacuated: bool, fields: dict[str, object]
    ) -> None:
        command = table_machines.encode_evacuation(place, is_evacuated)
        proposals.commit(self._node, command, fields)
        LOG.info(
            'evacuation order stored',
            extra={
                **fields,
                'number': self._machine.evacuations.number,
                'term': self._node.term(),
            },
        )
