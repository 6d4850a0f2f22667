"""Errors of the routing library."""


class RoutingError(Exception):
    """Base class of all errors of this library."""


class TableError(RoutingError):
    """A routing table is invalid.

    :param key: the invalid part of the table, such as ``routes.NAME``
    """

    def __init__(self, key: str, detail: str):
        super().__init__(f'{key}: {detail}')
        self.key = key
        self.detail = detail
