"""State that a listener keeps for each dialer across its reconnects."""

import collections
import threading
import typing

# The limit of the total length of the answers that one session caches.
MAX_CACHED_ANSWER_BYTES = 8 * 1024 * 1024
MAX_SESSIONS = 2_048


class Sender(typing.Protocol):
    """A link that sends encoded frames."""

    def send(self, frame: bytes) -> bool:
        """Sends a frame; returns False when the link is lost."""

    def drop(self) -> None:
        """Shuts the connection down without a closing handshake."""


class CallRegistration:
    """What the session knows about a received call.

    :param is_new: whether the call must be run; false for a repeated one
    :param answer: the encoded answer to a repeated call. None if the call is
        new or still running, or if the dialer no longer waits for the answer.
    """

    __slots__ = ('is_new', 'answer')

    def __init__(self, is_new: bool, answer: bytes | None = None):
        self.is_new = is_new
        self.answer = answer


class Session:
    """Recognises the repeated calls of one dialer and caches answers.

    ``link`` is the current link to the dialer, None while there is none.

    :param encode_lost_answer: encodes the error that replaces an answer
        which was evicted from the cache
    """

    __slots__ = (
        '_answers',
        '_cached_bytes',
        '_lowest_pending',
        '_lock',
        'link',
        '_encode_lost_answer',
    )

    def __init__(self, encode_lost_answer: typing.Callable[[int], bytes]):
        self._answers: collections.OrderedDict[int, bytes | None] = (
            collections.OrderedDict()
        )
        self._cached_bytes = 0
        self._lowest_pending = 0
        self._lock = threading.Lock()
        self._encode_lost_answer = encode_lost_answer
        self.link: Sender | None = None

    def connect(self, link: Sender) -> None:
        """Makes a link the current one and drops the previous one."""
        with self._lock:
            previous, self.link = self.link, link
        if previous is not None:
            previous.drop()

    def disconnect(self, link: Sender) -> None:
        """Removes a link if it is the current one."""
        with self._lock:
            if self.link is link:
                self.link = None

    def register_call(
        self, number: int, lowest_pending: int
    ) -> CallRegistration:
        """Registers a received call, unless it is a repeated one.

        Discards the answers that the dialer no longer waits for.

        :returns: whether the call is new, and otherwise its cached answer
        :param lowest_pending: lowest number among the dialer's calls that
            still wait for an answer
        """
        with self._lock:
            self._discard_below(lowest_pending)
            if number < self._lowest_pending:
                return CallRegistration(False)
            if number in self._answers:
                return CallRegistration(False, self._answers[number])
            self._answers[number] = None
            return CallRegistration(True)

    def send_answer(self, number: int, frame: bytes) -> None:
        """Caches an answer and sends it over the current link, if any."""
        with self._lock:
            if number in self._answers:
                self._answers[number] = frame
                self._cached_bytes += len(frame)
                self._trim_answers()
            link = self.link
        if link is not None:
            link.send(frame)

    def _discard_below(self, lowest_pending: int) -> None:
        if lowest_pending <= self._lowest_pending:
            return
        self._lowest_pending = lowest_pending
        for number in [n for n in self._answers if n < lowest_pending]:
            self._cached_bytes -= len(self._answers.pop(number) or b'')

    def _trim_answers(self) -> None:
        """Replaces the oldest answers by errors until the cache fits.

        An answer that is shorter than the error stays.
        """
        if self._cached_bytes <= MAX_CACHED_ANSWER_BYTES:
            return
        for number, frame in self._answers.items():
            if frame is None:
                continue
            lost_answer = self._encode_lost_answer(number)
            if len(lost_answer) < len(frame):
                self._answers[number] = lost_answer
                self._cached_bytes += len(lost_answer) - len(frame)
            if self._cached_bytes <= MAX_CACHED_ANSWER_BYTES:
                return


class Sessions:
    """Sessions by the session identifier of the dialer."""

    def __init__(self, encode_lost_answer: typing.Callable[[int], bytes]):
        self._encode_lost_answer = encode_lost_answer
        self._lock = threading.Lock()
        self._sessions: collections.OrderedDict[bytes, Session] = (
            collections.OrderedDict()
        )

    def get_or_create(self, session_id: bytes) -> Session:
        """Returns the session with an identifier, creating it when missing."""
        with self._lock:
            session = self._sessions.get(session_id)
            if session is None:
                session = Session(self._encode_lost_answer)
                self._sessions[session_id] = session
            self._sessions.move_to_end(session_id)
            self._evict()
            return session

    def _evict(self) -> None:
        """Removes the least recently connected sessions that have no link."""
        excess = len(self._sessions) - MAX_SESSIONS
        if excess <= 0:
            return
        unlinked = [i for i, s in self._sessions.items() if s.link is None]
        for session_id in unlinked[:excess]:
            del self._sessions[session_id]
