"""Fakes of the interfaces of the control daemon, and builders."""

from masticquay_coordination import errors
from masticquay_routing import errors as routing_errors
from masticquay_routing import fleets
from masticquay_routing import messages
from masticquay_routing import placement_messages
from masticquay_routing import tables
from masticquay_wire import errors as wire_errors


class FakeLink:
    """A link to an entry host that records its notifications."""

    def __init__(self):
        self.notifications = []
        self.disconnected = False
        self.close_hooks = []

    def on_close(self, hook):
        self.close_hooks.append(hook)

    def notify(self, message):
        if self.disconnected:
            raise wire_errors.PeerUnavailableError('disconnected')
        self.notifications.append(message)

    def notify_encoded(self, notice):
        self.notify(notice.message)

    def last(self, kind):
        """Returns the latest notification of a type, or None."""
        matching = [n for n in self.notifications if isinstance(n, kind)]
        return matching[-1] if matching else None


class VersionReader:
    """Parses documents that consist of the version only."""

    def read(self, document):
        if not document.isdigit():
            raise routing_errors.TableError('document', 'bad')
        engine = tables.Engine(16, 20_000, 500, 6_000)
        return tables.Table(
            int(document),
            [],
            [tables.Service('llm', '/', 10, engine)],
            [tables.Workspace('w', ['k'], None, True, 1, 1_000.0, 6_000.0)],
            tables.CallerLimits(1, 2, 3, 4),
        )


class FakeLister:
    """An endpoint list that tests set."""

    def __init__(self):
        self.endpoints = []
        self.fails = False
        self.read_count = 0

    def read(self):
        self.read_count += 1
        if self.fails:
            raise errors.ListError('down')
        return list(self.endpoints)


class FakeEngineOrders:
    """Records the orders that were sent."""

    def __init__(self):
        self.sent = []
        self.error = None
        # Called before an order is sent, as while an engine reports.
        self.on_wait = lambda: None

    def change_role(self, endpoint, role, holder, fence, may_send):
        if self.error is not None:
            raise self.error
        self.on_wait()
        if not may_send():
            raise errors.OrderError('the request may not be sent any more')
        self.sent.append((endpoint.endpoint_id, role, holder, fence))


def make_engines(prefills, decodes):
    """Returns engines e0, e1, ..., prefill engines first."""
    return [
        fleets.Endpoint(
            f'e{n}',
            'llm',
            f'127.0.0.1:{n}',
            'p1',
            16,
            False,
            fleets.ROLE_PREFILL if n < prefills else fleets.ROLE_DECODE,
        )
        for n in range(prefills + decodes)
    ]


def make_renewal(host='h1', **overrides):
    """Returns the renewal of a host that has no table and no lists."""
    fields = {
        'incarnation': 1,
        'address': f'{host}:80',
        'place': 'p1',
        'ready': True,
        'table_version': -1,
        'endpoints_number': 0,
        'hosts_number': 0,
        'term': 0,
        'usage': {},
        'running': [],
    }
    fields.update(overrides)
    return messages.Renew(host=host, **fields)


def make_admit(number, **overrides):
    """Returns a request with 3,000 prompt and 1,000 output tokens."""
    fields = {
        'host': 'h1',
        'service': 'llm',
        'workspace': '',
        'cost': 0.0,
        'prompt_tokens': 3_000,
        'output_tokens': 1_000,
        'priority': 1,
        'urgent_ms': 500,
        'wait_ms': 500,
        'late_wait_ms': 2_000,
        'prompt_key': '',
        'avoid': [],
    }
    fields.update(overrides)
    return placement_messages.Admit(number=number, **fields)
