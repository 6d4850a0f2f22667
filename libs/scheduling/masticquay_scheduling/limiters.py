"""Rate limiters: token buckets whose tokens are granted to hosts."""

import threading

from masticquay_bundles import models
from masticquay_scheduling import errors
from masticquay_scheduling import rate_messages
from masticquay_scheduling import settings as scheduling_settings
from masticquay_wire import clocks


class HostGrant:
    """What one host may still spend, as known to the owner.

    :param tokens: an upper bound until the host reports or the grant expires
    """

    __slots__ = (
        'incarnation',
        'tokens',
        'expires_ms',
        'sequence',
        'spent_total_tokens',
        'refunded_total_tokens',
        'answer',
    )

    def __init__(self, incarnation: int, tokens: int, expires_ms: int):
        self.incarnation = incarnation
        self.tokens = tokens
        self.expires_ms = expires_ms
        self.sequence = 0
        self.spent_total_tokens = 0
        self.refunded_total_tokens = 0
        self.answer: rate_messages.Grant | None = None


class RateLimiter:
    """Grants the tokens of a workspace's bucket to hosts.

    The level plus all unspent grants never exceeds the burst. So even with
    delayed or lost messages and failed hosts, all hosts together never spend
    more than rate * t + burst in any time t. Granted tokens that a host has
    not reported when the grant expires count as spent.

    :param level_tokens: the initial level of the bucket
    :param view_number: requests based on an older view are refused
    :ivar expired_tokens: granted tokens whose spending was never reported
    """

    def __init__(
        self,
        workspace: models.Workspace,
        clock: clocks.Clock,
        settings: scheduling_settings.SchedulingSettings,
        level_tokens: int,
        view_number: int,
    ):
        self._clock = clock
        self._settings = settings
        self._workspace = workspace
        self._view_number = view_number
        self._level = float(min(level_tokens, workspace.burst_tokens))
        self._refilled_ms = clock.now_ms()
        self._grants: dict[str, HostGrant] = {}
        self._lock = threading.Lock()
        self._retired = False
        self.expired_tokens = 0

    @classmethod
    def take_over(
        cls,
        handover: rate_messages.HandOverRate,
        workspace: models.Workspace,
        clock: clocks.Clock,
        settings: scheduling_settings.SchedulingSettings,
    ) -> 'RateLimiter':
        """Returns a limiter with the state of the old owner."""
        limiter = cls(
            workspace,
            clock,
            settings,
            handover.level_tokens,
            handover.view_number,
        )
        now_ms = clock.now_ms()
        for grant in handover.grants:
            limiter._grants[grant.host] = HostGrant(
                grant.incarnation, grant.tokens, now_ms + grant.expires_in_ms
            )
        limiter._cap_level()
        return limiter

    def update(self, workspace: models.Workspace) -> None:
        """Applies the rate and burst of a newer bundle."""
        with self._lock:
            self._refill()
            self._workspace = workspace
            self._cap_level()

    def request(
        self, request: rate_messages.RequestGrant
    ) -> rate_messages.Grant:
        """Applies a host's report, and grants tokens if available.

        A repeated request gets the same answer again; an older one is granted
        nothing.

        :raises NotOwnerError: when retired, or for a request of an older view
        """
        with self._lock:
            if self._retired or request.view_number < self._view_number:
                raise errors.NotOwnerError(request.workspace)
            self._refill()
            grant = self._find_grant(request)
            if grant is None or request.sequence < grant.sequence:
                return rate_messages.Grant(request.sequence, 0, 0, 0)
            if request.sequence == grant.sequence:
                return grant.answer
            self._apply_report(grant, request)
            answer = self._make_grant(grant, request)
            grant.sequence = request.sequence
            grant.answer = answer
            return answer

    def hand_over(self, view_number: int) -> rate_messages.HandOverRate:
        """Stops granting; returns the state for the next owner."""
        with self._lock:
            self._refill()
            self._retired = True
            now_ms = self._clock.now_ms()
            grants = [
                rate_messages.HeldGrant(
                    host,
                    grant.incarnation,
                    grant.tokens,
                    grant.expires_ms - now_ms,
                )
                for host, grant in self._grants.items()
                if grant.tokens
            ]
            return rate_messages.HandOverRate(
                self._workspace.name, view_number, int(self._level), grants
            )

    def retire(self) -> None:
        """Stops granting."""
        with self._lock:
            self._retired = True

    def level_tokens(self) -> int:
        """Returns how many tokens may be granted now."""
        with self._lock:
            self._refill()
            return int(self._level)

    def outstanding_tokens(self) -> int:
        """Returns how many granted tokens hosts may still spend."""
        return sum(grant.tokens for grant in self._grants.values())

    def _find_grant(
        self, request: rate_messages.RequestGrant
    ) -> HostGrant | None:
        grant = self._grants.get(request.host)
        if grant is not None and grant.incarnation > request.incarnation:
            return None
        if grant is None or grant.incarnation < request.incarnation:
            grant = HostGrant(request.incarnation, 0, 0)
            self._grants[request.host] = grant
        return grant

    def _apply_report(
        self, grant: HostGrant, request: rate_messages.RequestGrant
    ) -> None:
        """Accounts for what a host spent, still holds and gave back."""
        spent = request.spent_total_tokens - grant.spent_total_tokens
        refunded = request.refunded_total_tokens - grant.refunded_total_tokens
        unused = grant.tokens - max(0, spent) - request.held_tokens
        grant.spent_total_tokens += max(0, spent)
        grant.refunded_total_tokens += max(0, refunded)
        grant.tokens = request.held_tokens
        self._level += max(0, unused) + max(0, refunded)
        self._cap_level()

    def _make_grant(
        self, grant: HostGrant, request: rate_messages.RequestGrant
    ) -> rate_messages.Grant:
        valid_ms = self._settings.grant_valid_ms
        granted = self._grant_size(request)
        self._level -= granted
        grant.tokens += granted
        grant.expires_ms = (
            self._clock.now_ms() + valid_ms + self._settings.grant_margin_ms
        )
        retry_ms = 0
        if not granted:
            retry_ms = self._time_until_ms(request.needed_tokens)
        return rate_messages.Grant(
            request.sequence, granted, valid_ms, retry_ms, self._scarce()
        )

    def _grant_size(self, request: rate_messages.RequestGrant) -> int:
        needed = request.needed_tokens
        if needed > self._level or request.wanted_tokens <= 0:
            return 0
        if self._scarce():
            return needed
        burst = self._workspace.burst_tokens
        outstanding_tokens = self.outstanding_tokens()
        headroom = (
            burst * self._settings.max_outstanding_percent // 100
            - outstanding_tokens
        )
        return max(
            needed, min(request.wanted_tokens, headroom, int(self._level))
        )

    def _scarce(self) -> bool:
        burst = self._workspace.burst_tokens
        return self._level < burst * self._settings.scarce_percent / 100

    def _time_until_ms(self, tokens: int) -> int:
        """Estimates the time until tokens are available, 0 for never."""
        if not tokens or tokens > self._workspace.burst_tokens:
            return 0
        rate = max(1, self._workspace.rate_tokens_per_s)
        missing = max(0.0, tokens - self._level)
        wait_ms = int(-(-missing * 1000 // rate))
        if missing <= self.outstanding_tokens():
            # Other hosts give back unneeded tokens within that time.
            wait_ms = min(wait_ms, self._settings.return_wait_ms)
        return max(1, wait_ms)

    def _refill(self) -> None:
        now_ms = self._clock.now_ms()
        elapsed_ms = now_ms - self._refilled_ms
        self._refilled_ms = now_ms
        self._level += elapsed_ms * self._workspace.rate_tokens_per_s / 1000
        # Capped before the expiry, since the grants were still outstanding
        # while the level rose.
        self._cap_level()
        for grant in self._grants.values():
            if grant.tokens and grant.expires_ms <= now_ms:
                self.expired_tokens += grant.tokens
                grant.tokens = 0

    def _cap_level(self) -> None:
        free = self._workspace.burst_tokens - self.outstanding_tokens()
        self._level = min(self._level, free)
