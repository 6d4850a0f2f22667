"""Log lines of a series of renewals that were not granted."""

import logging

from masticquay_membership import messages as membership_messages
from masticquay_membership import protocols

LOG = logging.getLogger(__name__)


class RenewalLog:
    """Writes one line for each new cause, and one when renewals go on.

    Renewals that fail for the same cause at the same replica as the one
    before are only counted.
    """

    __slots__ = ('_last', '_count')

    def __init__(self) -> None:
        self._last: tuple[str, str] | None = None
        self._count = 0

    def record_failure(
        self,
        replica: str,
        cause: str,
        host: membership_messages.Host,
        state: protocols.HostState,
        elapsed_ms: int,
        lease_left_ms: int,
    ) -> None:
        """Records a renewal that was refused or not answered.

        :param cause: the code of a refusal, or the name of an error
        :param elapsed_ms: the time since the renewal was sent
        :param lease_left_ms: negative once the lease has ended, 0 without one
        """
        self._count += 1
        if self._last == (replica, cause):
            return
        self._last = (replica, cause)
        LOG.warning(
            'renewal not granted',
            extra={
                'replica': replica,
                'cause': cause,
                'incarnation': host.incarnation,
                'leaving': host.leaving,
                'view_number': state.view.number,
                'applied_index': state.applied_index,
                'elapsed_ms': elapsed_ms,
                'lease_left_ms': lease_left_ms,
                'failed_count': self._count,
            },
        )

    def record_grant(
        self, replica: str, elapsed_ms: int, lease_left_ms: int
    ) -> None:
        """Records a granted renewal.

        :param elapsed_ms: the time since the renewal was sent
        :param lease_left_ms: what was left of the lease before
        """
        if self._last is None:
            return
        LOG.info(
            'renewals are granted again',
            extra={
                'replica': replica,
                'elapsed_ms': elapsed_ms,
                'lease_left_ms': lease_left_ms,
                'failed_count': self._count,
            },
        )
        self._last = None
        self._count = 0
