"""The entry hosts that callers are told to use."""

from masticquay_routing import fleets

# Callers are led away from hosts without a path only while at least this share
# of the hosts has one, so that the others have room for them.
MIN_SHARE_WITH_PATH = 0.5


def list_for_callers(
    listed: list[fleets.Host], own: fleets.Host, is_own_usable: bool
) -> list[fleets.Host]:
    """Returns the hosts that callers should use.

    Requests at a host without a path to endpoints go by way of another one,
    so callers are better served there.

    :param listed: the hosts that the leader listed
    :param own: this host, as it is now
    :param is_own_usable: whether it takes new callers
    """
    hosts = [host for host in listed if host.name != own.name]
    if is_own_usable:
        hosts.append(own)
    with_path = [host for host in hosts if host.reaches_endpoints]
    if with_path and len(with_path) >= MIN_SHARE_WITH_PATH * len(hosts):
        return with_path
    return hosts
