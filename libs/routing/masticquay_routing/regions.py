"""The regions that data centres are in, and those that requests may use."""

import typing


class Regions:
    """The region of each place.

    A place whose region is not known is in none, so a request with allowed
    regions does not use it.
    """

    __slots__ = ('_by_place',)

    def __init__(self, by_place: typing.Mapping[str, str]):
        self._by_place = dict(by_place)

    def allows(self, place: str, allowed: list[list[str]]) -> bool:
        """Whether a place is in a region that each of some lists allows."""
        region = self._by_place.get(place)
        return all(region in regions for regions in allowed)

    def find_empty(self, regions: typing.Iterable[str]) -> list[str]:
        """Returns those of some regions that have no place."""
        return sorted(set(regions) - set(self._by_place.values()))


NO_REGIONS = Regions({})
