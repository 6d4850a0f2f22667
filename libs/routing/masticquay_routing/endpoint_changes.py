"""The endpoint list as the leader sends it to hosts that know an earlier one.

A fleet of hundreds of hosts before thousands of endpoints cannot be sent the
whole list at each change of one endpoint: that grows with the product of both.
"""

import zlib

import cbor2

from masticquay_routing import fleets
from masticquay_routing import messages
from masticquay_wire import errors
from masticquay_wire import messages as wire_messages

# Above this share of the list, the whole of it is sent instead of changes.
MAX_CHANGED_SHARE = 0.5


@wire_messages.register
class PackedEndpoints(wire_messages.Message):
    """An endpoint list, compressed.

    :param packed: the fields of an ``EndpointUpdate``, encoded with CBOR and
        compressed with zlib
    """

    __slots__ = ('packed',)

    def __init__(self, packed: bytes):
        self.packed = packed

    @classmethod
    def pack(cls, update: messages.EndpointUpdate) -> 'PackedEndpoints':
        """Compresses an update."""
        return cls(zlib.compress(cbor2.dumps(update.to_wire())))

    def unpack(self) -> messages.EndpointUpdate:
        """Returns the update.

        :raises MessageError: if it has no valid fields
        """
        try:
            fields = cbor2.loads(zlib.decompress(self.packed))
        except (zlib.error, cbor2.CBORError) as cause:
            raise errors.MessageError('unreadable endpoint list') from cause
        return messages.EndpointUpdate.from_wire(fields)


@wire_messages.register
class EndpointChanges(wire_messages.Message):
    """What differs between an endpoint list and the one before.

    :param base_number: the number of the list before, in the same term
    :param update: the new list, with only its new and changed endpoints
    """

    __slots__ = ('base_number', 'removed_ids', 'update')

    def __init__(
        self,
        base_number: int,
        removed_ids: list[str],
        update: messages.EndpointUpdate,
    ):
        self.base_number = base_number
        self.removed_ids = removed_ids
        self.update = update

    def merge(self, base: list[fleets.Endpoint]) -> messages.EndpointUpdate:
        """Returns the new list, whole.

        :param base: the endpoints of the list before
        """
        merged = {endpoint.endpoint_id: endpoint for endpoint in base}
        for endpoint_id in self.removed_ids:
            merged.pop(endpoint_id, None)
        for endpoint in self.update.endpoints:
            merged[endpoint.endpoint_id] = endpoint
        return _with_endpoints(self.update, list(merged.values()))


# An endpoint list as hosts receive it.
EndpointMessage = messages.EndpointUpdate | PackedEndpoints | EndpointChanges


def find_changes(
    before: messages.EndpointUpdate, after: messages.EndpointUpdate
) -> EndpointChanges | None:
    """Returns what differs between two lists of a term.

    :returns: None if too much differs, or if an id is listed twice
    """
    base = {e.endpoint_id: e for e in before.endpoints}
    listed = {e.endpoint_id: e for e in after.endpoints}
    if len(listed) < len(after.endpoints) or len(base) < len(before.endpoints):
        return None
    changed = [e for i, e in listed.items() if base.get(i) != e]
    removed_ids = [i for i in base if i not in listed]
    if len(changed) + len(removed_ids) > MAX_CHANGED_SHARE * len(listed):
        return None
    return EndpointChanges(
        before.number, removed_ids, _with_endpoints(after, changed)
    )


def _with_endpoints(
    update: messages.EndpointUpdate, endpoints: list[fleets.Endpoint]
) -> messages.EndpointUpdate:
    """Returns a copy of an update with other endpoints."""
    fields = {name: getattr(update, name) for name in update.__slots__}
    return messages.EndpointUpdate(**fields | {'endpoints': endpoints})
