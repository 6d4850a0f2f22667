"""Fakes at the ports of the control daemon."""

from masticquay_coordination import errors
from masticquay_routing import errors as routing_errors
from masticquay_routing import fleets
from masticquay_routing import messages
from masticquay_routing import tables
from masticquay_wire import errors as wire_errors


class FakeLink:
    """A link to an entry host that keeps what it was sent."""

    def __init__(self):
        self.notices = []
        self.lost = False

    def notify(self, message):
        if self.lost:
            raise wire_errors.PeerUnavailableError('lost')
        self.notices.append(message)

    def last(self, kind):
        """Returns the newest notice of a type."""
        found = [n for n in self.notices if isinstance(n, kind)]
        return found[-1] if found else None


class NumberReader:
    """Reads a document that is a version, or ``bad``."""

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
    """A platform list that a test sets."""

    def __init__(self):
        self.endpoints = []
        self.fails = False
        self.reads = 0

    def read(self):
        self.reads += 1
        if self.fails:
            raise errors.ListError('down')
        return list(self.endpoints)


class FakeOrders:
    """Keeps the orders that were given."""

    def __init__(self):
        self.given = []

    def change_role(self, endpoint, role, holder, fence):
        self.given.append((endpoint.endpoint_id, role, holder, fence))


def make_engines(prefills, decodes):
    """Returns engines e0, e1, ... of which the first prefill."""
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


def make_renewal(host='h1', **more):
    """Returns a renewal of a host that knows nothing yet."""
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
    fields.update(more)
    return messages.Renew(host=host, **fields)


def make_admit(number, **more):
    """Returns a request for a place for 3,000 + 1,000 tokens."""
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
    fields.update(more)
    return messages.Admit(number=number, **fields)
