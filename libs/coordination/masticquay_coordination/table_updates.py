"""Updates with what each replica has applied, encoded once for all hosts."""

import threading

from masticquay_coordination import table_machines
from masticquay_coordination import updates
from masticquay_routing import messages


class TableUpdates:
    """Encodes the newest table and evacuations that this replica applied.

    :param machine: holds the table
    """

    def __init__(self, machine: table_machines.TableMachine):
        self._machine = machine
        self._lock = threading.Lock()
        self._update: updates.Update | None = None
        self._evacuations: updates.Update | None = None

    def get(self) -> updates.Update | None:
        """Returns the update with the newest table, None without a table."""
        stored = self._machine.stored
        if stored is None:
            return None
        with self._lock:
            update = self._update
            if update is None or update.number < stored.version:
                update = updates.Update(
                    updates.Kind.TABLE,
                    stored.version,
                    messages.TableUpdate(stored.version, stored.document),
                )
                self._update = update
            return update

    def evacuations(self) -> updates.Update | None:
        """Returns the update with the evacuated places alone.

        :returns: None if no place was ever evacuated
        """
        evacuated = self._machine.evacuations
        if not evacuated.number:
            return None
        with self._lock:
            update = self._evacuations
            if update is None or update.number < evacuated.number:
                message = messages.EndpointUpdate(
                    0,
                    0,
                    [],
                    evacuated=sorted(evacuated.places),
                    evacuations_number=evacuated.number,
                )
                update = updates.Update(
                    updates.Kind.EVACUATIONS, evacuated.number, message
                )
                self._evacuations = update
            return update
