"""Handlers of the messages that entry hosts send to the leader."""

import logging
import typing

from masticquay_coordination import leader_terms
from masticquay_routing import endpoint_messages
from masticquay_routing import harmful_prompts
from masticquay_routing import messages
from masticquay_routing import placement_messages
from masticquay_routing import slot_messages
from masticquay_wire import errors as wire_errors
from masticquay_wire import listeners
from masticquay_wire import messages as wire_messages
from masticquay_wire import peers

LOG = logging.getLogger(__name__)


class Leader(typing.Protocol):
    """What the handlers need of the leader's duties."""

    @property
    def term(self) -> leader_terms.LeaderTerm | None:
        """The present term as leader, None while another replica leads."""

    def require_serving_term(self) -> leader_terms.LeaderTerm:
        """Returns the present term once it can serve.

        :raises RemoteError: with the leader's address, if another one leads
        """

    def add_seeker(
        self, renewal: messages.Renew, link: peers.Connection
    ) -> None:
        """Records a host that looks for the leader, and sends it the table.

        It is notified when this replica can serve.
        """

    def members(self) -> list[str]:
        """Returns the addresses of the control replicas."""

    def add_leaving(
        self, renewal: messages.Renew, term: leader_terms.LeaderTerm
    ) -> None:
        """Tells all hosts of endpoints that told one host that they leave."""

    def exchange_endpoint_views(
        self, term: leader_terms.LeaderTerm, renewal: messages.Renew
    ) -> list[messages.EndpointView]:
        """Records what a host saw of endpoints; returns what all hosts did."""


class HostMessages:
    """Passes each message on to the part of the leader that it is for.

    A request is answered only by a leader that can serve. A notice that
    reaches no leader is dropped.
    """

    def __init__(self, leader: Leader):
        self._leader = leader

    def register(self, listener: listeners.Listener) -> None:
        """Registers the handlers at a listener."""
        listener.handle(messages.Renew, self._handle_renew)
        listener.handle(placement_messages.Admit, self._handle_admit)
        listener.handle(endpoint_messages.AskPermit, self._handle_ask_permit)
        listener.handle(endpoint_messages.AskTrial, self._handle_ask_trial)
        listener.handle(endpoint_messages.TrialEnded, self._handle_trial_ended)
        listener.handle(
            endpoint_messages.EndedUnderRequest,
            self._handle_ended_under_request,
        )
        listener.handle(slot_messages.AskSlot, self._handle_ask_slot)
        listener.handle(slot_messages.SlotEnded, self._handle_slot_ended)
        listener.handle(
            placement_messages.PrefillDone, self._handle_prefill_done
        )
        listener.handle(placement_messages.Decoding, self._handle_decoding)
        listener.handle(placement_messages.Finished, self._handle_finished)
        listener.handle(
            placement_messages.EndpointTrouble, self._handle_endpoint_trouble
        )

    def _handle_renew(
        self, renewal: messages.Renew, link: peers.Connection
    ) -> messages.Renewed:
        try:
            term = self._leader.require_serving_term()
        except wire_errors.RemoteError:
            self._leader.add_seeker(renewal, link)
            raise
        if term.sessions.is_replaced(renewal):
            raise wire_errors.RemoteError(
                messages.CODE_REPLACED, 'the host has restarted since'
            )
        if term.sessions.renew(renewal, link):
            term.release_host(renewal.host)
        if renewal.running:
            term.owner.adopt(renewal.host, renewal.running)
        if renewal.held is not None:
            term.owner.drop_ended(renewal.host, renewal.held)
        origins = term.owner.exchange_origins(renewal.host, renewal.origins)
        if renewal.leaving:
            self._leader.add_leaving(renewal, term)
        if renewal.quarantined:
            prompts, requests = harmful_prompts.split_keys(renewal.quarantined)
            term.owner.adopt_quarantined(prompts)
            term.requests.adopt(requests)
        exhausted = term.owner.charge(term.sessions.take_usage(renewal))
        views = self._leader.exchange_endpoint_views(term, renewal)
        term.slots.set_views(views)
        return messages.Renewed(
            term.number,
            self._leader.members(),
            exhausted,
            views,
            term.owner.quarantined_prompts() | term.requests.quarantined(),
            term.limits.exchange(renewal.host, renewal.limits),
            term.requests.suspects(),
            origins,
            term.sessions.renew_interval_ms,
            term.slots.exchange(renewal),
        )

    def _handle_admit(
        self, request: placement_messages.Admit, link: peers.Connection
    ) -> wire_messages.Message | typing.Any:
        return self._leader.require_serving_term().admissions.admit(request)

    def _handle_ask_slot(
        self, ask: slot_messages.AskSlot, link: peers.Connection
    ) -> wire_messages.Message | typing.Any:
        return self._leader.require_serving_term().slots.ask(ask)

    def _handle_slot_ended(
        self, ended: slot_messages.SlotEnded, link: peers.Connection
    ) -> None:
        term = self._leader.term
        if term is not None:
            term.slots.end(ended)

    def _handle_ask_permit(
        self, ask: endpoint_messages.AskPermit, link: peers.Connection
    ) -> endpoint_messages.PermitAnswer:
        return self._leader.require_serving_term().limits.give_permit(ask)

    def _handle_ask_trial(
        self, ask: endpoint_messages.AskTrial, link: peers.Connection
    ) -> endpoint_messages.TrialAnswer:
        return self._leader.require_serving_term().requests.begin_trial(ask)

    def _handle_trial_ended(
        self, ended: endpoint_messages.TrialEnded, link: peers.Connection
    ) -> None:
        term = self._leader.term
        if term is not None:
            term.requests.end_trial(ended)

    def _handle_ended_under_request(
        self,
        ended: endpoint_messages.EndedUnderRequest,
        link: peers.Connection,
    ) -> None:
        term = self._leader.term
        if term is not None:
            term.requests.record_end(ended)

    def _handle_prefill_done(
        self, done: placement_messages.PrefillDone, link: peers.Connection
    ) -> None:
        term = self._leader.term
        if term is not None:
            term.owner.finish_prefill(done)

    def _handle_decoding(
        self, decoding: placement_messages.Decoding, link: peers.Connection
    ) -> None:
        term = self._leader.term
        if term is not None:
            term.owner.begin_decode(decoding)

    def _handle_finished(
        self, finished: placement_messages.Finished, link: peers.Connection
    ) -> None:
        term = self._leader.term
        if term is not None:
            term.admissions.finish(finished)

    def _handle_endpoint_trouble(
        self,
        trouble: placement_messages.EndpointTrouble,
        link: peers.Connection,
    ) -> None:
        term = self._leader.term
        if term is None:
            return
        LOG.warning(
            'endpoint failed or refused a request',
            extra={
                'endpoint': trouble.endpoint_id,
                'entry_host': trouble.host,
                'reason': trouble.reason,
                'has_ended': trouble.has_ended,
                'ended_in_prefill': trouble.ended_in_prefill,
                'prompt_parts': trouble.prompt_parts,
            },
        )
        term.owner.record_failure(trouble)
