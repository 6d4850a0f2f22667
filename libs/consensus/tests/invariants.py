"""Invariants of Raft that a simulation checks after each step."""

import cbor2

from masticquay_consensus import frames
from masticquay_consensus import messages
from masticquay_consensus import stores


class InvariantChecker:
    """Remembers leaders, leases and committed entries of all hosts."""

    def __init__(self):
        self.leader_by_term = {}
        self.committed_entries = {}
        self.lease_end_by_term_ms = {}
        self.lease_holder_by_term = {}

    def check(self, hosts, now_ms):
        """Checks all hosts that run."""
        for host in hosts:
            if host.replica is None:
                continue
            self.check_leader(host, now_ms)
            self.check_committed(host)

    def end_lease(self, term):
        """Records that the leader of a term gave up its lease."""
        self.lease_end_by_term_ms.pop(term, None)

    def check_candidate(self, host, request):
        """Checks that a candidate has stored its term and own vote."""
        if not isinstance(request, messages.RequestVote) or request.probe:
            return
        content = frames.decode_single(host.disk.read(stores.VOTE_FILE))
        assert [request.term, host.replica_id] == cbor2.loads(content), (
            f'{host.name} asks for votes in a term that it has not stored'
        )

    def check_leader(self, host, now_ms):
        """Checks that each term has one leader and that leases do not overlap.

        A process may lead only once the leases of earlier terms have ended.
        """
        if not host.is_leading:
            return
        state = host.replica.state
        first = self.leader_by_term.setdefault(state.term, host.name)
        assert first == host.name, f'two leaders in term {state.term}'
        self.drop_ended_leases()
        self.lease_holder_by_term[state.term] = (host, host.replica)
        remaining_ms = host.replica.lease_remaining_ms() / host.clock.rate
        end_ms = now_ms + remaining_ms
        for term, lease_end_ms in self.lease_end_by_term_ms.items():
            assert term >= state.term or lease_end_ms <= now_ms, (
                f'term {state.term} began during the lease of term {term}'
            )
        self.lease_end_by_term_ms[state.term] = max(
            end_ms, self.lease_end_by_term_ms.get(state.term, 0)
        )
        self.lease_end_by_term_ms = {
            term: end
            for term, end in self.lease_end_by_term_ms.items()
            if end > now_ms or term == state.term
        }

    def drop_ended_leases(self):
        """Drops the leases of processes that have ended."""
        for term, (host, replica) in self.lease_holder_by_term.items():
            if host.replica is not replica:
                self.lease_end_by_term_ms.pop(term, None)

    def check_committed(self, host):
        """Checks that all hosts have the same committed entries."""
        state = host.replica.state
        if not state.store.formed:
            return
        raft_log = state.store.raft_log
        first = max(host.checked_index, raft_log.base_index) + 1
        for index in range(first, state.commit_index + 1):
            entry = raft_log.entry(index)
            recorded = self.committed_entries.setdefault(index, entry)
            assert recorded == entry, f'committed entry {index} was replaced'
        host.checked_index = state.commit_index
