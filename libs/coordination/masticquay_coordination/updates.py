"""Updates that the leader sends to entry hosts, and which ones it has sent."""

import enum

from masticquay_wire import messages as wire_messages

# An update that a host still lacks is sent again after this time.
RESEND_AFTER_MS = 1_500


class Kind(enum.Enum):
    """What an update replaces at a host."""

    TABLE = 'table'
    ENDPOINTS = 'endpoints'
    HOSTS = 'hosts'
    LEADER = 'leader'
    EVACUATIONS = 'evacuations'


class Update:
    """An update for all hosts, encoded once.

    :param number: rises with each update of the kind in a term; the version
        of a table
    """

    __slots__ = ('kind', 'number', 'notice')

    def __init__(
        self, kind: Kind, number: int, message: wire_messages.Message
    ):
        self.kind = kind
        self.number = number
        self.notice = wire_messages.EncodedNotice(message)


class SentUpdates:
    """The newest update of each kind that was sent over one link.

    A link keeps the order of what is sent, so an update that was sent recently
    needs no repetition although the host has not reported it yet.
    """

    __slots__ = ('_numbers', '_sent_ms')

    def __init__(self) -> None:
        self._numbers: dict[Kind, int] = {}
        self._sent_ms: dict[Kind, int] = {}

    def number(self, kind: Kind) -> int | None:
        """Returns the newest that was sent of a kind, None if none was."""
        return self._numbers.get(kind)

    def record(self, update: Update, now_ms: int) -> None:
        """Records that an update is being sent."""
        self._numbers[update.kind] = update.number
        self._sent_ms[update.kind] = now_ms

    def is_due(self, update: Update, now_ms: int) -> bool:
        """Whether an update that the host lacks should be sent (again)."""
        if self._numbers.get(update.kind) != update.number:
            return True
        return now_ms - self._sent_ms[update.kind] >= RESEND_AFTER_MS
