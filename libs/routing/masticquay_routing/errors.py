"""Errors of the routing library."""


class RoutingError(Exception):
    """Any failure of this library."""


class TableError(RoutingError):
    """A routing table is not valid.

    :param key: where in the table the fault lies
    """

    def __init__(self, key: str, detail: str):
        super().__init__(f'{key}: {detail}')
        self.key = key
        self.detail = detail
