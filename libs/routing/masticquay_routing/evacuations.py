"""The data centres whose endpoints operators have taken out of use."""

import typing

from masticquay_routing import fleets


class Evacuations:
    """The evacuated places after some changes; immutable.

    :param number: the number of changes so far, which orders two of these
    """

    __slots__ = ('number', 'places')

    def __init__(self, number: int = 0, places: typing.Iterable[str] = ()):
        self.number = number
        self.places = frozenset(places)

    def change(self, place: str, is_evacuated: bool) -> 'Evacuations':
        """Returns these after an order, which may change nothing."""
        if (place in self.places) == is_evacuated:
            return self
        return Evacuations(self.number + 1, self.places ^ {place})

    def mark(self, endpoints: list[fleets.Endpoint]) -> list[fleets.Endpoint]:
        """Returns the endpoints, marked as these say.

        Those that leave anyway stay as they are, so that the marks can be
        taken back.
        """
        return [_mark(e, e.place in self.places) for e in endpoints]


NO_EVACUATIONS = Evacuations()


def unmark(endpoints: list[fleets.Endpoint]) -> list[fleets.Endpoint]:
    """Returns the endpoints as the platform lists them."""
    return NO_EVACUATIONS.mark(endpoints)


def _mark(endpoint: fleets.Endpoint, is_evacuated: bool) -> fleets.Endpoint:
    if endpoint.evacuated == is_evacuated:
        return endpoint
    if endpoint.leaving and not endpoint.evacuated:
        return endpoint
    fields = {name: getattr(endpoint, name) for name in endpoint.__slots__}
    marks = {'leaving': is_evacuated, 'evacuated': is_evacuated}
    return fleets.Endpoint(**{**fields, **marks})
