"""Orders to the engine stand-in: load a version or adapter, change roles."""

from http import client
import threading

from masticquay_standins import journals
from masticquay_standins import servers

WEIGHT_STORE_TIMEOUT_S = 60
READ_CHUNK_BYTES = 256 * 1024


class OrderExecutor:
    """Executes orders and holds the model, version and roles they change.

    :param checks_fencing: whether orders with a stale fencing number are
        refused
    :param orderer: the only sender whose orders are accepted, empty for any
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
        # By order id: ``running``, ``done`` or ``failed``.
        self._states: dict[str, str] = {}
        self._highest_fencing_number = 0
        self.model = model
        self.version = version
        self.roles = list(roles)
        self.adapters: list[str] = []

    def submit(self, order: dict) -> servers.Response:
        """Executes an order in a thread, unless it is refused or known.

        An order is known while it runs and after it is done; one that failed
        is executed again.
        """
        order_id = str(order.get('order_id', ''))
        fencing_number = int(order.get('fencing_number', 0))
        with self._lock:
            response = self._check(order, order_id, fencing_number)
            if response is None:
                self._states[order_id] = 'running'
        accepted = response is None
        self._journal.add(
            journals.EVENT_ORDER,
            order_id=order_id,
            fencing_number=fencing_number,
            kind=order.get('kind', ''),
            version=order.get('version', ''),
            accepted=accepted,
            highest_fencing_number=self._highest_fencing_number,
        )
        if response is not None:
            return response
        worker = threading.Thread(
            target=self._execute, args=(order_id, order), daemon=True
        )
        worker.start()
        return servers.json_response(202, {'state': 'running'})

    def get_state(self, order_id: str) -> servers.Response:
        """Returns a response with the state of an order."""
        state = self._states.get(order_id)
        if state is None:
            return servers.error_response(404, 'unknown-order')
        return servers.json_response(200, {'state': state})

    def _check(
        self, order: dict, order_id: str, fencing_number: int
    ) -> servers.Response | None:
        """Checks an order and records the highest fencing number.

        :returns: the response if the order is refused or known, else None
        """
        if self._orderer and order.get('orderer') != self._orderer:
            return servers.error_response(403, 'unknown-orderer')
        if fencing_number < self._highest_fencing_number:
            if self._checks_fencing:
                return servers.error_response(409, 'stale-fencing')
        else:
            self._highest_fencing_number = fencing_number
        state = self._states.get(order_id)
        if state in ('done', 'running'):
            return servers.json_response(200, {'state': state})
        return None

    def _execute(self, order_id: str, order: dict) -> None:
        kind = order.get('kind')
        try:
            if kind in ('load-version', 'load-adapter') and order.get('store'):
                self._download_weights(order)
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

    def _download_weights(self, order: dict) -> None:
        connection = client.HTTPConnection(
            order['store'], timeout=WEIGHT_STORE_TIMEOUT_S
        )
        try:
            path = f'/v1/weights/{order["model"]}/{order.get("version", "")}'
            connection.request('GET', path)
            response = connection.getresponse()
            if response.status != 200:
                raise client.HTTPException(
                    f'weight store responded with status {response.status}'
                )
            while response.read(READ_CHUNK_BYTES):
                continue
        finally:
            connection.close()
