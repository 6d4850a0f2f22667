"""Ownership of pools and workspaces, by rendezvous hashing over a view."""

import xxhash

from masticquay_membership import messages

KIND_POOL = 'pool'
KIND_WORKSPACE = 'workspace'


def rank_hosts(
    view: messages.View, kind: str, name: str
) -> list[messages.Host]:
    """Returns the view's staying hosts, the best owner first."""
    staying = [host for host in view.hosts if not host.leaving]
    staying.sort(
        key=lambda host: (_score(kind, name, host.name), host.name),
        reverse=True,
    )
    return staying


def find_owner(
    view: messages.View, kind: str, name: str, place: str = ''
) -> messages.Host | None:
    """Returns the host that owns a thing in a view.

    :param place: hosts of this place come before all others
    """
    ranked = rank_hosts(view, kind, name)
    near = [host for host in ranked if host.place == place]
    candidates = near or ranked
    return candidates[0] if candidates else None


def _score(kind: str, name: str, host: str) -> int:
    return xxhash.xxh64_intdigest(f'{kind}\0{name}\0{host}'.encode())
