"""Stand-ins for a service, a weight store and the platform's host list."""

import hashlib
import json
import threading
import time

from masticquay_standins import faults
from masticquay_standins import journals
from masticquay_standins import links
from masticquay_standins import servers

# The journal has only this much of the body of a call.
MAX_RECORDED_BODY_BYTES = 4_096


class Service:
    """A service that records each call it runs in the journal.

    :param slots: the maximum number of concurrent calls
    :param work_ms: the duration of a call
    :param load_lag_ms: the maximum age of the published load
    :param seed: not used; the options of every kind have it
    """

    def __init__(
        self,
        journal: journals.Journal,
        slots: int = 20,
        work_ms: int = 5,
        load_lag_ms: int = 200,
        seed: int = 0,
    ):
        self.journal = journal
        self.faults = faults.Faults()
        self._slots = slots
        self._work_ms = work_ms
        self._load_lag_ms = load_lag_ms
        self._used_slots = 0
        self._lock = threading.Lock()
        # The time of the sample and the number of slots in use.
        self._load_sample = (0.0, 0)

    def serve(self, request: servers.Request) -> servers.Response:
        """Returns the load, or runs a call if a slot is free."""
        if request.path == '/load' and request.method == 'GET':
            return self._read_load()
        with self._lock:
            if self._used_slots >= self._slots:
                return servers.error_response(503, 'full')
            self._used_slots += 1
        try:
            return self._run(request)
        finally:
            with self._lock:
                self._used_slots -= 1

    def _run(self, request: servers.Request) -> servers.Response:
        digest = hashlib.sha256(request.body).hexdigest()
        key = request.header('Idempotency-Key')
        self.journal.add(
            journals.EVENT_RUN,
            method=request.method,
            path=request.path,
            idempotency_key=key,
            body_digest=digest,
            body=request.body[:MAX_RECORDED_BODY_BYTES].decode(
                'utf-8', 'replace'
            ),
        )
        time.sleep(self._work_ms * self.faults.slowdown_factor / 1000)
        return servers.json_response(
            200,
            {
                'service': self.journal.name,
                'path': request.path,
                'body_digest': digest,
                'idempotency_key': key,
            },
        )

    def _read_load(self) -> servers.Response:
        now_ms = journals.now_ms()
        with self._lock:
            if now_ms - self._load_sample[0] > self._load_lag_ms:
                self._load_sample = (now_ms, self._used_slots)
            sampled_ms, used_slots = self._load_sample
        return servers.json_response(
            200,
            {
                'slots': self._slots,
                'slots_used': used_slots,
                'age_ms': int(now_ms - sampled_ms),
            },
        )


class WeightStore:
    """Sends model weights; all transfers share one rate limit.

    :param seed: not used; the options of every kind have it
    """

    def __init__(
        self,
        journal: journals.Journal,
        rate_bytes_per_s: int = 20_000_000,
        weights_bytes: int = 2_000_000,
        seed: int = 0,
    ):
        self.journal = journal
        self.faults = faults.Faults()
        self._link = links.Link(rate_bytes_per_s)
        self._weights_bytes = weights_bytes

    def serve(
        self, request: servers.Request
    ) -> servers.Response | servers.ResponseWriter:
        """Returns a response that sends the weights of a model version."""
        if not request.path.startswith('/v1/weights/'):
            return servers.error_response(404, 'unknown-path')
        return links.RateLimitedWriter(
            self._link, self._weights_bytes, self.faults
        )


class PlatformHostList:
    """Lists live and leaving hosts; changes become visible with a delay.

    ``POST /standin/hosts`` with ``{"hosts": [...]}`` replaces the list.

    :param lag_ms: the time after which a change becomes visible
    :param hosts: the initial list
    :param seed: not used; the options of every kind have it
    """

    def __init__(
        self,
        journal: journals.Journal,
        lag_ms: int = 500,
        hosts: list[dict] | None = None,
        seed: int = 0,
    ):
        self.journal = journal
        self.faults = faults.Faults()
        self._lag_ms = lag_ms
        self._lock = threading.Lock()
        # Each list with the time at which it was set.
        self._history = [(0.0, hosts or [])]

    def serve(self, request: servers.Request) -> servers.Response:
        """Returns the visible list, or replaces the list."""
        if request.path == '/standin/hosts':
            hosts = json.loads(request.body)['hosts']
            with self._lock:
                self._history.append((journals.now_ms(), hosts))
            self.journal.add('listed', hosts=hosts)
            return servers.json_response(200, {})
        if request.path != '/v1/hosts':
            return servers.error_response(404, 'unknown-path')
        visible_until_ms = journals.now_ms() - self._lag_ms
        with self._lock:
            visible = [v for v in self._history if v[0] <= visible_until_ms]
        hosts = visible[-1][1] if visible else []
        return servers.json_response(
            200, {'hosts': hosts, 'age_ms': self._lag_ms}
        )
