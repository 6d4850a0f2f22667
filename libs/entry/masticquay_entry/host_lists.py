"""The list of hosts that callers may use."""

import json

from masticquay_bundles import models
from masticquay_membership import messages
from masticquay_membership import ownership

KIND_CALLERS = 'callers'


def choose_hosts(
    view: messages.View, place: str, workspace: models.Workspace | None
) -> list[messages.Host]:
    """Returns the hosts for a caller, the best first.

    A workspace gets a fixed few of all hosts, so that what harms the hosts of
    one workspace spares most others. One of them lies in another place.

    :param place: hosts of this place come first
    :param workspace: None for a caller without a key, who gets all hosts
    """
    name = workspace.name if workspace else ''
    ranked = ownership.rank_hosts(view, KIND_CALLERS, name)
    near = [host for host in ranked if host.place == place]
    far = [host for host in ranked if host.place != place]
    if workspace is None:
        return near + far
    count = workspace.host_count
    spare = 1 if far and count > 1 else 0
    chosen = near[: count - spare]
    return chosen + far[: count - len(chosen)]


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
