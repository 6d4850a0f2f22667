"""Tells whole answers from those that a host or a stand-in broke off."""

import http.client


def require_length(response: http.client.HTTPResponse) -> None:
    """Checks that an answer says where it ends, as all of theirs do.

    ``http.client`` takes a head that breaks off for one of an answer that
    ends with its connection.

    :raises IncompleteRead: if it does not
    """
    if response.length is None and not response.chunked:
        raise http.client.IncompleteRead(b'')
