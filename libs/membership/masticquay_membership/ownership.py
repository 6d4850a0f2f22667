"""Ownership of pools and workspaces, by rendezvous hashing of a view."""

import xxhash

from masticquay_membership import messages

KIND_POOL = 'pool'
KIND_WORKSPACE = 'workspace'


def rank_hosts(
    view: messages.View, kind: str, name: str
) -> list[messages.Host]:
    """Returns the hosts that are not leaving, in order of preference."""
    staying = [host for host in view.hosts if not host.leaving]
    staying.sort(
        key=lambda host: (_score(kind, name, host.name), host.name),
        reverse=True,
    )
    return staying


def find_owner(
    view: messages.View, kind: str, name: str, place: str = ''
) -> messages.Host | None:
    """Returns the host that owns a pool or workspace in a view.

    :param kind: ``KIND_POOL`` or ``KIND_WORKSPACE``
    :param place: a data centre whose hosts are preferred to all others
    :returns: None if every host is leaving or the view is empty
    """
    ranked = rank_hosts(view, kind, name)
    local = [host for host in ranked if host.place == place]
    candidates = local or ranked
    return candidates[0] if candidates else None


def _score(kind: str, name: str, host: str) -> int:
    return xxhash.xxh64_intdigest(f'{kind}\0{name}\0{host}'.encode())
