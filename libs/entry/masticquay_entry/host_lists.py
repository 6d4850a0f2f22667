"""The lists of hosts that callers may use."""

import json

from masticquay_bundles import models
from masticquay_membership import messages
from masticquay_membership import ownership

# Ranks hosts for workspaces independently of the owners of pools and rates.
KIND_CALLERS = 'callers'


def choose_hosts(
    view: messages.View, place: str, workspace: models.Workspace | None
) -> list[messages.Host]:
    """Returns the hosts that a caller may use, best first.

    A workspace gets a fixed subset of ``host_count`` hosts, so that a
    workspace that harms its hosts leaves most others unaffected. One of
    them is in another place if ``host_count`` is above 1.

    :param place: the data centre whose hosts come first
    :param workspace: None for a caller without a key, who gets all hosts
    """
    name = workspace.name if workspace else ''
    ranked = ownership.rank_hosts(view, KIND_CALLERS, name)
    local = [host for host in ranked if host.place == place]
    remote = [host for host in ranked if host.place != place]
    if workspace is None:
        return local + remote
    count = workspace.host_count
    reserved_remote_count = 1 if remote and count > 1 else 0
    chosen = local[: count - reserved_remote_count]
    return chosen + remote[: count - len(chosen)]


def render_list(hosts: list[messages.Host], ttl_ms: int) -> bytes:
    """Returns the list as JSON."""
    listed = [
        {
            'name': host.name,
            'place': host.place,
            'address': host.caller_address,
        }
        for host in hosts
    ]
    return json.dumps({'ttl_ms': ttl_ms, 'hosts': listed}).encode()
