"""The update with the newest endpoint list, in each form that hosts read."""

from masticquay_coordination import updates
from masticquay_routing import endpoint_changes
from masticquay_routing import messages
from masticquay_wire import messages as wire_messages


class EndpointUpdates:
    """Encodes an endpoint list once for each form that is asked for.

    Not safe for several threads at a time.

    :param update: the list
    :param before: the list before it in the term, None for the first one
    """

    __slots__ = ('update', '_changes', '_encoded')

    def __init__(
        self,
        update: messages.EndpointUpdate,
        before: messages.EndpointUpdate | None = None,
    ):
        self.update = update
        self._changes: endpoint_changes.EndpointChanges | None = None
        if before is not None:
            self._changes = endpoint_changes.find_changes(before, update)
        self._encoded: dict[type, updates.Update] = {}

    @property
    def number(self) -> int:
        """The number of the list."""
        return self.update.number

    def whole_for(self, renewal: messages.Renew) -> updates.Update:
        """Returns the whole list in a form that a host reads."""
        if renewal.reads_endpoint_changes:
            return self._encode(endpoint_changes.PackedEndpoints)
        return self._encode(messages.EndpointUpdate)

    def newest_for(
        self, renewal: messages.Renew, held_number: int
    ) -> updates.Update:
        """Returns what brings a host to this list.

        :param held_number: the list that the host has, or is about to get
            over its link; changes to another one are ignored by the host
        """
        if (
            renewal.reads_endpoint_changes
            and self._changes is not None
            and held_number == self._changes.base_number
        ):
            return self._encode(endpoint_changes.EndpointChanges)
        return self.whole_for(renewal)

    def _encode(self, form: type) -> updates.Update:
        encoded = self._encoded.get(form)
        if encoded is None:
            encoded = updates.Update(
                updates.Kind.ENDPOINTS, self.number, self._make(form)
            )
            self._encoded[form] = encoded
        return encoded

    def _make(self, form: type) -> wire_messages.Message:
        if form is endpoint_changes.EndpointChanges:
            return self._changes
        if form is endpoint_changes.PackedEndpoints:
            return endpoint_changes.PackedEndpoints.pack(self.update)
        return self.update
