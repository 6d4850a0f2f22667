"""Stand-ins for a plain service, a weight store and the platform list."""

import hashlib
import json
import threading
import time

from masticquay_standins import faults
from masticquay_standins import journals
from masticquay_standins import links
from masticquay_standins import servers

MAX_BODY_BYTES = 4_096


class Service:
    """A plain service that counts how often each call ran.

    :param work_ms: how long a call takes
    :param load_lag_ms: how old the published load is
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
        self._used = 0
        self._lock = threading.Lock()
        self._load = (0.0, 0)

    def serve(self, request: servers.Request) -> servers.Response:
        """Answers a load query or runs a call."""
        if request.path == '/load' and request.method == 'GET':
            return self._read_load()
        with self._lock:
            if self._used >= self._slots:
                return servers.fail(503, 'full')
            self._used += 1
        try:
            return self._run(request)
        finally:
            with self._lock:
                self._used -= 1

    def _run(self, request: servers.Request) -> servers.Response:
        digest = hashlib.sha256(request.body).hexdigest()
        key = request.header('Idempotency-Key')
        self.journal.add(
            journals.EVENT_RUN,
            method=request.method,
            path=request.path,
            idempotency_key=key,
            body_digest=digest,
            body=request.body[:MAX_BODY_BYTES].decode('utf-8', 'replace'),
        )
        time.sleep(self._work_ms * self.faults.slow / 1000)
        return servers.reply(
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
            if now_ms - self._load[0] > self._load_lag_ms:
                self._load = (now_ms, self._used)
            read_ms, used = self._load
        return servers.reply(
            200,
            {
                'slots': self._slots,
                'slots_used': used,
                'age_ms': int(now_ms - read_ms),
            },
        )


class WeightStore:
    """Sends weights within a total rate."""

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
    ) -> servers.Response | servers.Writer:
        """Sends the weights of a model's version."""
        if not request.path.startswith('/v1/weights/'):
            return servers.fail(404, 'unknown-path')
        return links.LinkWriter(self._link, self._weights_bytes, self.faults)


class PlatformList:
    """Lists live and leaving hosts, as they were a while ago.

    ``POST /standin/hosts`` with ``{"hosts": [...]}`` replaces the list.

    :param lag_ms: how late a change shows
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
        self._versions = [(0.0, hosts or [])]

    def serve(self, request: servers.Request) -> servers.Response:
        """Answers with the list, or replaces it."""
        if request.path == '/standin/hosts':
            hosts = json.loads(request.body)['hosts']
            with self._lock:
                self._versions.append((journals.now_ms(), hosts))
            self.journal.add('listed', hosts=hosts)
            return servers.reply(200, {})
        if request.path != '/v1/hosts':
            return servers.fail(404, 'unknown-path')
        readable_ms = journals.now_ms() - self._lag_ms
        with self._lock:
            shown = [v for v in self._versions if v[0] <= readable_ms]
        hosts = shown[-1][1] if shown else []
        return servers.reply(200, {'hosts': hosts, 'age_ms': self._lag_ms})
