"""Loopback addresses of a test fleet, apart from those of other fleets."""

import itertools
import os

CALLER_PORT = 8080
PEER_PORT = 7080
STANDIN_PORT = 9080
FIRST_SECOND_OCTET = 16
SECOND_OCTETS = 200
CONTROL_FIRST = 1
ENTRY_FIRST = 20
ENGINE_FIRST = 60
SERVICE_FIRST = 140
OTHER_FIRST = 200
FORWARDER_FIRST = 210

_fleet_numbers = itertools.count()


class Layout:
    """The addresses of one fleet, from the process id and a counter."""

    __slots__ = ('_prefix',)

    def __init__(self) -> None:
        number = os.getpid() * 4 + next(_fleet_numbers) % 4
        second = FIRST_SECOND_OCTET + (number >> 8) % SECOND_OCTETS
        self._prefix = f'127.{second}.{number & 255}'

    def control(self, number: int) -> str:
        """Returns the peer address of a control host."""
        return f'{self._prefix}.{CONTROL_FIRST + number}:{PEER_PORT}'

    def caller(self, number: int) -> str:
        """Returns the address of an entry host for callers."""
        return f'{self._prefix}.{ENTRY_FIRST + number}:{CALLER_PORT}'

    def peer(self, number: int) -> str:
        """Returns the address of an entry host for other processes."""
        return f'{self._prefix}.{ENTRY_FIRST + number}:{PEER_PORT}'

    def engine(self, number: int) -> str:
        """Returns the address of an engine."""
        return f'{self._prefix}.{ENGINE_FIRST + number}:{STANDIN_PORT}'

    def service(self, number: int) -> str:
        """Returns the address of a plain service."""
        return f'{self._prefix}.{SERVICE_FIRST + number}:{STANDIN_PORT}'

    def other(self, number: int) -> str:
        """Returns the address of another stand-in."""
        return f'{self._prefix}.{OTHER_FIRST + number}:{STANDIN_PORT}'

    def forwarder(self, number: int) -> str:
        """Returns the address of the forwarder before a control host."""
        return f'{self._prefix}.{FORWARDER_FIRST + number}:{PEER_PORT}'
