"""The software versions at which recent streams may have begun.

They tell at which version a stream goes on whose origin was lost: if only one
is possible, at that one.
"""

from masticquay_routing import fleets
from masticquay_routing import stream_origins

# Software versions by service.
Versions = dict[str, list[str]]


class SoftwareVersions:
    """Follows the endpoint list of one leader.

    :param known: the versions that the previous leader knew, None if that is
        not known; no stream has begun yet if it is empty
    """

    __slots__ = ('_listed_ms', '_current', '_is_known', '_started_ms')

    def __init__(self, known: Versions | None, now_ms: int):
        self._is_known = known is not None
        self._started_ms = now_ms
        # When each version of each service was last in use.
        self._listed_ms: dict[tuple[str, str], int] = {
            (service, version): now_ms
            for service, versions in (known or {}).items()
            for version in versions
        }
        self._current: set[tuple[str, str]] = set()

    def record(self, endpoints: list[fleets.Endpoint], now_ms: int) -> None:
        """Records an endpoint list; the previous one was in use until now."""
        listed = {(e.service, e.software_version) for e in endpoints}
        for key in self._current | listed:
            self._listed_ms[key] = now_ms
        self._current = listed
        oldest_kept_ms = now_ms - stream_origins.RETENTION_MS
        self._listed_ms = {
            key: listed_ms
            for key, listed_ms in self._listed_ms.items()
            if listed_ms >= oldest_kept_ms
        }

    def possible(self, now_ms: int) -> Versions | None:
        """Returns the versions at which a stream may have begun.

        :returns: None while streams may have begun before the first list
            that was recorded
        """
        age_ms = now_ms - self._started_ms
        if not self._is_known and age_ms <= stream_origins.RETENTION_MS:
            return None
        versions: Versions = {}
        for service, version in sorted(self._listed_ms):
            versions.setdefault(service, []).append(version)
        return versions


def only_version(versions: Versions | None, service: str) -> str | None:
    """Returns the only version at which a service's streams may have begun.

    :returns: None if there are several, or if they are not known
    """
    if versions is None:
        return None
    possible = versions.get(service, [])
    return possible[0] if len(possible) == 1 else None
