"""Client through which an entry host calls the owners of pools."""

from concurrent import futures
import contextlib
import random as random_module
import threading

from returns import result

from masticquay_membership import protocols as membership_protocols
from masticquay_scheduling import directories
from masticquay_scheduling import errors
from masticquay_scheduling import messages
from masticquay_scheduling import outstanding
from masticquay_scheduling import owner_callers
from masticquay_scheduling import protocols
from masticquay_scheduling import rate_clients
from masticquay_scheduling import services
from masticquay_scheduling import settings as scheduling_settings
from masticquay_wire import clocks
from masticquay_wire import duties

# How long reports of ended attempts are collected before they are sent.
REPORT_BATCH_MS = 5
LOOP_INTERVAL_MS = 50
RETRY_DELAY_MS = 50
# How long an owner may be unreachable before another pool is tried: enough for
# a first connection attempt, short compared with the first-token targets.
UNREACHABLE_MS = 150
ANNOUNCE_TIMEOUT_MS = 1_000
REPORT_TIMEOUT_MS = 1_000
# Time that the answer to an Admit may take beyond the longest queue wait.
ANSWER_MARGIN_MS = 1_000
RateClient = rate_clients.RateClient
# Refusals after which another pool of the same target is tried.
SPILL_REASONS = frozenset(
    (
        messages.REASON_DEADLINE,
        messages.REASON_QUEUE_FULL,
        messages.REASON_NO_ENDPOINT,
    )
)


class PoolClient:
    """Admits requests at the owners of pools, on this or other hosts.

    After a change of owner it sends pending requests to the new one and
    announces the running placements to it. Reports of ended attempts are
    repeated until they are acknowledged.
    """

    def __init__(
        self,
        membership: membership_protocols.Membership,
        service: services.SchedulingService,
        directory: directories.Directory,
        clock: clocks.Clock,
        random: random_module.Random,
        settings: scheduling_settings.SchedulingSettings,
    ):
        self._membership = membership
        self._owner_caller = owner_callers.OwnerCaller(
            membership, service, directory, settings
        )
        self._clock = clock
        self._random = random
        self._settings = settings
        self._table = outstanding.OutstandingTable()
        self._announced: dict[str, tuple[str, int]] = {}
        self._announcing: set[str] = set()
        self._stopping = threading.Event()
        self._wake = threading.Event()
        self._stack = contextlib.ExitStack()

    def start(self) -> None:
        """Subscribes to membership changes and starts the retry thread."""
        self._membership.add_listener(self._owner_caller.on_membership_change)
        state = self._membership.state()
        self._owner_caller.on_membership_change(state, state)
        thread = threading.Thread(
            target=self._run, name='pool-client', daemon=True
        )
        thread.start()
        self._stack.callback(thread.join, 2)
        self._stack.callback(self._stopping.set)

    def close(self) -> None:
        """Stops the thread; refuses pending requests with ``no-endpoint``."""
        self._stack.close()
        refused = messages.Refused(messages.REASON_NO_ENDPOINT)
        for pending in self._table.pending():
            self._resolve(pending, refused)

    # Calls of the entry host.

    def pool_of(self, target: str, place: str) -> str:
        """Returns the pool of a model or service nearest to a place.

        Among several shards one is chosen at random. The name is empty when
        the target has no pool.
        """
        found = self._owner_caller.pool_map.find(target, place)
        if not found:
            return ''
        nearest = [plan for plan in found if plan.place == found[0].place]
        return self._random.choice(nearest).name

    def admit(self, admit: messages.Admit) -> futures.Future:
        """Asks the pool's owner for a placement; see ``protocols.Pools``."""
        pending = outstanding.PendingAdmit(
            admit, self._clock.now_ms(), self._settings.spill_attempts
        )
        self._table.add_pending(pending)
        self._send_admit(pending)
        return pending.future

    def await_decode(
        self,
        pool: str,
        request: messages.RequestId,
        attempt: int,
        expires_ms: int,
    ) -> futures.Future:
        """Asks for the decode endpoint; see ``protocols.Pools``."""
        future: futures.Future = futures.Future()
        self._table.end_prefill(request, attempt)
        pool = self._table.pool_of(request, attempt) or pool
        message = messages.AwaitDecode(pool, request, attempt, expires_ms)

        def on_answer(outcome: outstanding.Outcome | None) -> None:
            if isinstance(outcome, messages.Placement):
                self._table.replace_placement(outcome)
                future.set_result(result.Success(outcome))
                return
            refused = outcome or messages.Refused(messages.REASON_NO_SLOT)
            future.set_result(result.Failure(refused))

        self._owner_caller.call(
            pool,
            message,
            expires_ms,
            on_answer,
            lambda scheduler, reply: scheduler.await_decode(
                request, attempt, expires_ms, reply
            ),
        )
        return future

    def withdraw(self, pool: str, request: messages.RequestId) -> None:
        """Removes a request from its queue; its future gets a refusal."""
        for pending in self._table.pending_of(request):
            pending.withdrawn = True
            message = messages.WithdrawRequest(pending.admit.pool, request)
            self._owner_caller.notify(
                pending.admit.pool,
                message,
                lambda scheduler: scheduler.withdraw(request),
            )
            self._resolve(pending, messages.Refused(messages.REASON_WITHDRAWN))

    def report_prefill_done(
        self, pool: str, request: messages.RequestId, attempt: int
    ) -> None:
        """Frees the prefill slot of an attempt."""
        self._table.end_prefill(request, attempt)
        pool = self._table.pool_of(request, attempt) or pool
        self._owner_caller.notify(
            pool,
            messages.PrefillDone(pool, request, attempt),
            lambda scheduler: scheduler.prefill_done(request, attempt),
        )

    def finish(self, pool: str, finished: messages.Finished) -> None:
        """Frees all reservations of an attempt; delivered at least once."""
        pool = self._table.end(finished.request, finished.attempt) or pool
        try:
            scheduler = self._owner_caller.local_scheduler(pool)
            if scheduler is not None:
                scheduler.finish(finished)
                return
        except errors.NotOwnerError:
            pass
        self._table.add_finished(pool, finished)
        self._wake.set()

    # Admission.

    def _send_admit(self, pending: outstanding.PendingAdmit) -> None:
        now_ms = self._clock.now_ms()
        admit = pending.make_message(now_ms)
        if admit is None:
            self._resolve(pending, messages.Refused(messages.REASON_DEADLINE))
            return
        pending.send_count += 1
        pending.sent_ms = now_ms
        send_number = pending.send_count
        admit.finished = self._table.take_finished(admit.pool)
        pending.owner = self._owner_caller.owner_key(admit.pool)

        def on_answer(outcome: outstanding.Outcome | None) -> None:
            if outcome is None:
                for finished in admit.finished:
                    self._table.add_finished(admit.pool, finished)
            self._handle_admit_answer(pending, send_number, outcome)

        self._owner_caller.call(
            admit.pool,
            admit,
            admit.max_wait_ms + ANSWER_MARGIN_MS,
            on_answer,
            lambda scheduler, reply: scheduler.admit(admit, reply),
        )

    def _handle_admit_answer(
        self,
        pending: outstanding.PendingAdmit,
        send_number: int,
        outcome: outstanding.Outcome | None,
    ) -> None:
        if isinstance(outcome, messages.Placement):
            # An answer of an earlier owner is not used: the new owner may
            # already have this host's announcement, without this placement.
            owner = self._owner_caller.owner_key(pending.admit.pool)
            is_current = (
                pending.send_count == send_number and pending.owner == owner
            )
            if is_current and self._resolve(pending, outcome):
                return
            # While the attempt is placed or pending in this pool, a report
            # that it has ended would free its newer placement as well.
            other_pool = outcome.pool != pending.admit.pool
            if other_pool or not self._table.is_known(pending.key):
                self._release_unused(outcome)
            outcome = None
        if pending.send_count != send_number or pending.future.done():
            return
        if outcome is None or outcome.reason == messages.REASON_NOT_OWNER:
            pending.retry_ms = self._clock.now_ms() + RETRY_DELAY_MS
            return
        if outcome.reason in SPILL_REASONS and self._spill(pending):
            return
        self._resolve(pending, outcome)

    def _resolve(
        self,
        pending: outstanding.PendingAdmit,
        outcome: outstanding.Outcome,
    ) -> bool:
        placed = isinstance(outcome, messages.Placement)
        return self._table.resolve(pending, outcome, placed)

    def _release_unused(self, placement: messages.Placement) -> None:
        """Reports an unused placement as ended."""
        finished = messages.Finished(
            placement.request, placement.attempt, messages.FINISHED_CANCELLED
        )
        self._table.add_finished(placement.pool, finished)

    def _spill(self, pending: outstanding.PendingAdmit) -> bool:
        """Sends a request to another pool of the target.

        :returns: False when there is none left to try
        """
        current_plan = self._owner_caller.pool_map.plans.get(
            pending.admit.pool
        )
        if current_plan is None or not pending.spills_left:
            return False
        others = [
            plan
            for plan in self._owner_caller.pool_map.find(
                current_plan.target, current_plan.place
            )
            if plan.name not in pending.tried_pools
        ]
        if not others:
            return False
        pending.switch_pool(others[0].name)
        self._send_admit(pending)
        return True

    # Background thread.

    def _run(self) -> None:
        duty = duties.Duty('pool calls', self._run_once)
        while not self._stopping.is_set():
            if self._wake.wait(LOOP_INTERVAL_MS / 1000):
                self._wake.clear()
                # Attempts that end together are reported in one message.
                self._stopping.wait(REPORT_BATCH_MS / 1000)
            duty.run_once()

    def _run_once(self) -> None:
        self._retry_admits()
        self._report_finished()
        self._announce_all()

    def _retry_admits(self) -> None:
        now_ms = self._clock.now_ms()
        for pending in self._table.pending():
            due = pending.retry_ms is not None and pending.retry_ms <= now_ms
            owner_changed = pending.owner != self._owner_caller.owner_key(
                pending.admit.pool
            )
            if owner_changed:
                pending.restart_first_token_target(now_ms)
            if due or owner_changed:
                pending.retry_ms = None
                self._send_admit(pending)
            elif self._owner_unreachable(pending, now_ms):
                self._spill(pending)

    def _owner_unreachable(
        self, pending: outstanding.PendingAdmit, now_ms: int
    ) -> bool:
        """Returns whether the owner is unreachable but not evicted yet."""
        if now_ms - pending.sent_ms < UNREACHABLE_MS:
            return False
        return not self._owner_caller.is_reachable(pending.admit.pool)

    def _report_finished(self) -> None:
        for pool in self._table.pools_with_finished():
            finished = self._table.take_finished(pool)
            if finished:
                self._report(pool, finished)

    def _report(self, pool: str, finished: list[messages.Finished]) -> None:
        def on_answer(outcome) -> None:
            if outcome is None:
                self._table.restore_finished(pool, finished)

        def run_local(scheduler, reply) -> None:
            for ended in finished:
                scheduler.finish(ended)

        message = messages.ReportFinished(pool, finished)
        self._owner_caller.call(
            pool, message, REPORT_TIMEOUT_MS, on_answer, run_local
        )

    def _announce_all(self) -> None:
        for pool in list(self._owner_caller.pool_map.plans):
            owner = self._owner_caller.owner(pool)
            if owner is None or pool in self._announcing:
                continue
            owner_key = (owner.name, owner.incarnation)
            if self._announced.get(pool) != owner_key:
                self._announce(pool, owner_key)

    def _announce(self, pool: str, owner_key: tuple[str, int]) -> None:
        host = self._membership.host
        message = messages.AnnouncePlacements(
            pool,
            host.name,
            host.incarnation,
            self._owner_caller.view.number,
            self._table.placements_in(pool),
        )
        self._announcing.add(pool)

        def on_answer(outcome) -> None:
            if outcome is not None:
                self._announced[pool] = owner_key
            self._announcing.discard(pool)

        def run_local(scheduler, reply) -> None:
            scheduler.announce(message)
            reply(message)

        self._owner_caller.call(
            pool, message, ANNOUNCE_TIMEOUT_MS, on_answer, run_local
        )


def implements(client: PoolClient) -> protocols.Pools:
    """Makes the type checker verify that the client fits its protocol."""
    return client
