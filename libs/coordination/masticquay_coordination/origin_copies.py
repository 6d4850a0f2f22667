"""Where streams began, as the leader knows it and has some hosts keep it.

Only the leader and the host that began a stream know its origin by
themselves, and both may be lost at once.
"""

import collections
import logging

from masticquay_routing import placement_messages
from masticquay_routing import software_versions
from masticquay_routing import stream_origins

LOG = logging.getLogger(__name__)

# Hosts that keep an origin, with the one that told it.
HOLDERS = 4
# Every host in touch has renewed several times by then; where there are fewer
# hosts, all of them have got it.
COPY_TIME_MS = 5_000
# One answer to a renewal holds no more; the rest goes with later ones.
MAX_ORIGINS_IN_ANSWER = 2_000


class _Copies:
    """An origin that further hosts should keep.

    :param holders: the hosts that are known to keep it
    """

    __slots__ = ('origin', 'holders', 'added_ms')

    def __init__(
        self,
        origin: stream_origins.StreamOrigin,
        holders: set[str],
        added_ms: int,
    ):
        self.origin = origin
        self.holders = holders
        self.added_ms = added_ms


class CopiedOrigins:
    """The origins of recent streams, and those that hosts should still get.

    No host gets those of a service whose streams can have begun at a single
    software version: a stream of unknown origin goes on there.
    """

    __slots__ = ('_origins', '_incomplete', '_versions')

    def __init__(self) -> None:
        self._origins = stream_origins.StreamOrigins()
        self._incomplete: collections.deque[_Copies] = collections.deque(
            maxlen=stream_origins.MAX_STREAMS
        )
        # Until the endpoint list is read, no origin is worth a copy.
        self._versions: software_versions.Versions | None = {}

    def set_versions(
        self, versions: software_versions.Versions | None, now_ms: int
    ) -> None:
        """Applies the versions at which recent streams may have begun."""
        earlier, self._versions = self._versions, versions
        if versions == earlier:
            return
        added = [
            _Copies(origin, set(), now_ms)
            for origin in self._origins.list_all(now_ms)
            if _is_unclear(versions, origin.service)
            and not _is_unclear(earlier, origin.service)
        ]
        self._incomplete.extend(added)
        LOG.info(
            'versions at which streams may have begun changed',
            extra={'versions': versions, 'origins_to_copy': len(added)},
        )

    def add(
        self, origin: stream_origins.StreamOrigin, host: str, now_ms: int
    ) -> None:
        """Adds an origin that a host told."""
        is_known = self.find(origin.call_id, now_ms) is not None
        self._origins.add(origin, now_ms)
        if not is_known and _is_unclear(self._versions, origin.service):
            self._incomplete.append(_Copies(origin, {host}, now_ms))

    def find(
        self, call_id: str, now_ms: int
    ) -> stream_origins.StreamOrigin | None:
        """Returns the origin of a stream, None if it is not known."""
        return self._origins.find(call_id, now_ms)

    def version_to_resume(
        self,
        request: placement_messages.Admit,
        versions: software_versions.Versions | None,
        now_ms: int,
    ) -> str | None:
        """Returns the version at which a request's stream goes on.

        :param versions: at which recent streams may have begun
        :returns: an empty text for a new stream, None if it is not known or
            if another service began the stream
        """
        if not request.resumes:
            return ''
        if request.software_version:
            return request.software_version
        origin = self.find(request.first_call_id, now_ms)
        if origin is None:
            return software_versions.only_version(versions, request.service)
        if origin.service != request.service:
            return None
        return origin.software_version

    def take_for(
        self, host: str, now_ms: int
    ) -> list[stream_origins.StreamOrigin]:
        """Returns the origins that a host should keep from now on."""
        taken = []
        for _ in range(len(self._incomplete)):
            copies = self._incomplete.popleft()
            if now_ms - copies.added_ms > COPY_TIME_MS or not _is_unclear(
                self._versions, copies.origin.service
            ):
                continue
            has_room = len(taken) < MAX_ORIGINS_IN_ANSWER
            if has_room and host not in copies.holders:
                taken.append(copies.origin)
                copies.holders.add(host)
            if len(copies.holders) < HOLDERS:
                self._incomplete.append(copies)
        return taken


def _is_unclear(
    versions: software_versions.Versions | None, service: str
) -> bool:
    """Whether streams of a service may have begun at several versions."""
    return versions is None or len(versions.get(service, [])) > 1
