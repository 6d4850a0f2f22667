"""What a listener keeps of each dialler, over its redials."""

import collections
import threading
import typing

MAX_KEPT_ANSWER_BYTES = 8 * 1024 * 1024
MAX_SESSIONS = 2_048


class Sender(typing.Protocol):
    """A link that takes encoded frames."""

    def send(self, frame: bytes) -> bool:
        """Sends a frame; returns False when the link is lost."""

    def drop(self) -> None:
        """Drops the link."""


class Admission:
    """Whether a call is new, or else the answer that it got before."""

    __slots__ = ('is_new', 'answer')

    def __init__(self, is_new: bool, answer: bytes | None = None):
        self.is_new = is_new
        self.answer = answer


class Session:
    """The calls of one dialler that may be sent again.

    :param lost_answer: makes the answer to a call that was answered, but
        whose answer was too old to keep
    """

    __slots__ = ('_answers', '_kept_bytes', '_floor', '_lock', 'link', '_lost')

    def __init__(self, lost_answer: typing.Callable[[int], bytes]):
        self._answers: collections.OrderedDict[int, bytes | None] = (
            collections.OrderedDict()
        )
        self._kept_bytes = 0
        self._floor = 0
        self._lock = threading.Lock()
        self._lost = lost_answer
        self.link: Sender | None = None

    def connect(self, link: Sender) -> None:
        """Makes a link the newest, and drops the one before it."""
        with self._lock:
            older, self.link = self.link, link
        if older is not None:
            older.drop()

    def disconnect(self, link: Sender) -> None:
        """Forgets a link if it is the newest."""
        with self._lock:
            if self.link is link:
                self.link = None

    def admit(self, number: int, floor: int) -> Admission:
        """Notes a call.

        :param floor: the dialler has the answers to all calls below it
        """
        with self._lock:
            self._forget_below(floor)
            if number < self._floor:
                return Admission(False)
            if number in self._answers:
                return Admission(False, self._answers[number])
            self._answers[number] = None
            return Admission(True)

    def answer(self, number: int, frame: bytes) -> None:
        """Keeps an answer and sends it over the newest link."""
        with self._lock:
            if number in self._answers:
                self._answers[number] = frame
                self._kept_bytes += len(frame)
                self._shrink()
            link = self.link
        if link is not None:
            link.send(frame)

    def _forget_below(self, floor: int) -> None:
        if floor <= self._floor:
            return
        self._floor = floor
        for number in [n for n in self._answers if n < floor]:
            self._kept_bytes -= len(self._answers.pop(number) or b'')

    def _shrink(self) -> None:
        """Replaces the oldest answers by short ones above the bound."""
        if self._kept_bytes <= MAX_KEPT_ANSWER_BYTES:
            return
        for number, frame in self._answers.items():
            if frame is None:
                continue
            short = self._lost(number)
            if len(short) < len(frame):
                self._answers[number] = short
                self._kept_bytes += len(short) - len(frame)
            if self._kept_bytes <= MAX_KEPT_ANSWER_BYTES:
                return


class Sessions:
    """Sessions by the key that the dialler proved."""

    def __init__(self, lost_answer: typing.Callable[[int], bytes]):
        self._lost_answer = lost_answer
        self._lock = threading.Lock()
        self._sessions: collections.OrderedDict[bytes, Session] = (
            collections.OrderedDict()
        )

    def find(self, key: bytes) -> Session:
        """Returns a session, a new one for a new key."""
        with self._lock:
            session = self._sessions.get(key)
            if session is None:
                session = Session(self._lost_answer)
                self._sessions[key] = session
            self._sessions.move_to_end(key)
            self._evict()
            return session

    def _evict(self) -> None:
        """Forgets the sessions longest without a link."""
        excess = len(self._sessions) - MAX_SESSIONS
        if excess <= 0:
            return
        unlinked = [k for k, s in self._sessions.items() if s.link is None]
        for key in unlinked[:excess]:
            del self._sessions[key]
