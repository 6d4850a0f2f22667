"""A host's grants: tokens that it may spend for a workspace."""

from masticquay_scheduling import rate_messages
from masticquay_scheduling import settings as scheduling_settings

# Weight of the last window in the moving average of spending.
USAGE_SMOOTHING = 0.5

# The name and incarnation of a host.
HostKey = tuple[str, int]


class GrantHolder:
    """Holds and spends a host's grant for one workspace.

    Not thread-safe. At most one grant request is outstanding. The caller
    passes the time in. Totals of spent and refunded tokens count from when
    the host switched to its present owner.
    """

    def __init__(
        self,
        workspace: str,
        host: str,
        incarnation: int,
        settings: scheduling_settings.SchedulingSettings,
    ):
        self._workspace = workspace
        self._host = host
        self._incarnation = incarnation
        self._settings = settings
        self._held_tokens = 0
        self._expires_ms = 0
        self._granting_owner: HostKey | None = None
        self._owner: HostKey | None = None
        self._sequence = 0
        self._request_sent_ms: int | None = None
        self._spent_total = 0
        self._sent_spent_total = 0
        self._answered_spent_total = 0
        self._refunded_total = 0
        self._sent_refunded_total = 0
        self._usage_window_began_ms = 0
        self._usage_window_tokens = 0
        self._usage_tokens_per_ms = 0.0
        self._bucket_is_scarce = False
        self._last_report_ms = 0

    @property
    def workspace(self) -> str:
        """The name of the workspace."""
        return self._workspace

    @property
    def owner(self) -> HostKey | None:
        """The owner to which spending is reported, None without one."""
        return self._owner

    @property
    def outstanding(self) -> bool:
        """Whether a grant request waits for its answer."""
        return self._request_sent_ms is not None

    def held_tokens(self, now_ms: int) -> int:
        """Returns how many tokens may be spent now."""
        if now_ms >= self._expires_ms:
            self._held_tokens = 0
        return self._held_tokens

    def spend(self, tokens: int, now_ms: int) -> bool:
        """Spends tokens if the grant covers them; returns whether it did."""
        if self.held_tokens(now_ms) < tokens:
            return False
        self._held_tokens -= tokens
        self._spent_total += tokens
        self._usage_window_tokens += tokens
        return True

    def refund(self, tokens: int, now_ms: int) -> None:
        """Gives back tokens that were charged but not used.

        Tokens whose spending was not reported yet may be spent again by this
        host. The rest is reported to the owner, which alone knows the level
        of the bucket.
        """
        unreported = self._spent_total - self._sent_spent_total
        reverted = 0
        if now_ms < self._expires_ms:
            reverted = min(tokens, unreported)
            self._spent_total -= reverted
            self._held_tokens += reverted
        self._refunded_total += tokens - reverted

    def switch_owner(self, owner: HostKey, live_hosts: set[HostKey]) -> None:
        """Switches to the owner of a new view.

        Drops a grant whose owner is no longer alive, because the successor
        does not know it. Spending that the old owner has not acknowledged is
        reported to the new one as well. Refunds that were sent to the old
        owner are not sent again, since they could then count twice.

        :param live_hosts: all hosts of the new view
        """
        if (
            self._granting_owner is not None
            and self._granting_owner not in live_hosts
        ):
            self._held_tokens = 0
        if owner == self._owner:
            return
        unsent = self._refunded_total - self._sent_refunded_total
        self._owner = owner
        self._request_sent_ms = None
        self._spent_total -= self._answered_spent_total
        self._sent_spent_total = 0
        self._refunded_total = unsent
        self._sent_refunded_total = 0
        self._answered_spent_total = 0

    def is_due(self, needed_tokens: int, now_ms: int) -> bool:
        """Returns whether to send a request to the owner now.

        :param needed_tokens: size of the first waiting charge, 0 for none
        """
        if self._owner is None or self.outstanding:
            return False
        if needed_tokens:
            return True
        if now_ms - self._last_report_ms < self._settings.report_interval_ms:
            return False
        changed = self._spent_total != self._sent_spent_total
        refunded = self._refunded_total != self._sent_refunded_total
        return changed or refunded or self.held_tokens(now_ms) > 0

    def make_request(
        self,
        needed_tokens: int,
        waiting_tokens: int,
        view_number: int,
        now_ms: int,
    ) -> rate_messages.RequestGrant:
        """Returns the next request to the owner.

        While no charge waits (``needed_tokens`` is 0), the host gives back
        the tokens that it holds beyond its expected spending.

        :param needed_tokens: the smallest useful grant, 0 to only report
        :param waiting_tokens: the sum of all waiting charges
        """
        self._update_usage_rate(now_ms)
        held = self.held_tokens(now_ms)
        horizon_ms = self._settings.grant_horizon_ms
        horizon_ms += self._settings.report_interval_ms
        expected = int(self._usage_tokens_per_ms * horizon_ms)
        idle = self._spent_total == self._sent_spent_total
        if not needed_tokens and (self._bucket_is_scarce or idle):
            expected = 0
        if not needed_tokens and held > expected:
            held = self._held_tokens = expected
        wanted = max(waiting_tokens, expected) - held
        self._sequence += 1
        self._request_sent_ms = self._last_report_ms = now_ms
        self._sent_spent_total = self._spent_total
        self._sent_refunded_total = self._refunded_total
        return rate_messages.RequestGrant(
            workspace=self._workspace,
            host=self._host,
            incarnation=self._incarnation,
            view_number=view_number,
            sequence=self._sequence,
            spent_total_tokens=self._spent_total,
            refunded_total_tokens=self._refunded_total,
            held_tokens=held,
            needed_tokens=needed_tokens,
            wanted_tokens=max(0, needed_tokens, wanted),
        )

    def apply(
        self, grant: rate_messages.Grant, owner: HostKey, now_ms: int
    ) -> bool:
        """Applies an answer to the outstanding request.

        :returns: False when the answer is ignored: it is to an older request,
            or comes from another owner
        """
        late = grant.sequence != self._sequence or owner != self._owner
        if self._request_sent_ms is None or late:
            return False
        expires_ms = self._request_sent_ms + grant.valid_ms
        self._request_sent_ms = None
        self._answered_spent_total = self._sent_spent_total
        self._bucket_is_scarce = grant.scarce
        if now_ms >= expires_ms:
            return True
        self._held_tokens = self.held_tokens(now_ms) + grant.granted_tokens
        self._expires_ms = max(self._expires_ms, expires_ms)
        self._granting_owner = owner
        return True

    def awaits(self, sequence: int) -> bool:
        """Returns whether a request still waits for its answer."""
        return self._request_sent_ms is not None and sequence == self._sequence

    def give_up(self, sequence: int) -> None:
        """Stops waiting for an answer; a later one is ignored."""
        if sequence == self._sequence:
            self._request_sent_ms = None

    def _update_usage_rate(self, now_ms: int) -> None:
        elapsed_ms = now_ms - self._usage_window_began_ms
        if elapsed_ms < self._settings.use_window_ms:
            return
        recent = self._usage_window_tokens / elapsed_ms
        self._usage_tokens_per_ms += USAGE_SMOOTHING * (
            recent - self._usage_tokens_per_ms
        )
        if self._usage_tokens_per_ms * self._settings.grant_horizon_ms < 1:
            self._usage_tokens_per_ms = 0.0
        self._usage_window_began_ms = now_ms
        self._usage_window_tokens = 0
