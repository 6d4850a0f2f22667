"""Orders to the engine stand-in: load a version or adapter, change role."""

from http import client
import threading

from masticquay_standins import journals
from masticquay_standins import servers

STORE_TIMEOUT_S = 60
READ_BYTES = 256 * 1024


class OrderBook:
    """Takes orders, with or without a check of the fencing number.

    :param orderer: the only orderer that is obeyed, empty for any
    """

    def __init__(
        self,
        journal: journals.Journal,
        checks_fencing: bool,
        orderer: str,
        model: str,
        version: str,
        roles: list[str],
    ):
        self._journal = journal
        self._checks_fencing = checks_fencing
        self._orderer = orderer
        self._lock = threading.Lock()
        self._states: dict[str, str] = {}
        self._highest_fencing_number = 0
        self.model = model
        self.version = version
        self.roles = list(roles)
        self.adapters: list[str] = []

    def take(self, order: dict) -> servers.Response:
        """Accepts or refuses an order."""
        order_id = str(order.get('order_id', ''))
        fencing_number = int(order.get('fencing_number', 0))
        with self._lock:
            answer = self._judge(order, order_id, fencing_number)
            if answer is None:
                self._states[order_id] = 'running'
        accepted = answer is None
        self._journal.add(
            journals.EVENT_ORDER,
            order_id=order_id,
            fencing_number=fencing_number,
            kind=order.get('kind', ''),
            version=order.get('version', ''),
            accepted=accepted,
            highest_fencing_number=self._highest_fencing_number,
        )
        if answer is not None:
            return answer
        worker = threading.Thread(
            target=self._carry_out, args=(order_id, order), daemon=True
        )
        worker.start()
        return servers.reply(202, {'state': 'running'})

    def state(self, order_id: str) -> servers.Response:
        """Answers how far an order has come."""
        found = self._states.get(order_id)
        if found is None:
            return servers.fail(404, 'unknown-order')
        return servers.reply(200, {'state': found})

    def _judge(
        self, order: dict, order_id: str, fencing_number: int
    ) -> servers.Response | None:
        if self._orderer and order.get('orderer') != self._orderer:
            return servers.fail(403, 'unknown-orderer')
        if fencing_number < self._highest_fencing_number:
            if self._checks_fencing:
                return servers.fail(409, 'stale-fencing')
        else:
            self._highest_fencing_number = fencing_number
        known = self._states.get(order_id)
        if known in ('done', 'running'):
            return servers.reply(200, {'state': known})
        return None

    def _carry_out(self, order_id: str, order: dict) -> None:
        kind = order.get('kind')
        try:
            if kind in ('load-version', 'load-adapter') and order.get('store'):
                self._fetch(order)
        except (OSError, client.HTTPException):
            self._states[order_id] = 'failed'
            return
        with self._lock:
            if kind == 'load-version':
                self.model = order.get('model', self.model)
                self.version = order.get('version', self.version)
            elif kind == 'load-adapter':
                self.adapters.append(order.get('adapter', ''))
            elif kind == 'change-role':
                self.roles = list(order.get('roles', self.roles))
            self._states[order_id] = 'done'

    def _fetch(self, order: dict) -> None:
        connection = client.HTTPConnection(
            order['store'], timeout=STORE_TIMEOUT_S
        )
        try:
            path = f'/v1/weights/{order["model"]}/{order.get("version", "")}'
            connection.request('GET', path)
            response = connection.getresponse()
            if response.status != 200:
                raise client.HTTPException(f'status {response.status}')
            while response.read(READ_BYTES):
                continue
        finally:
            connection.close()
