"""A seeded simulation of replicas under faults that checks Raft invariants.

One thread drives the replicas step by step, with simulated clocks that drift,
over a network that loses, delays, duplicates and reorders messages.
"""

from concurrent import futures
import heapq
import itertools
import random

from masticquay_consensus import errors
from masticquay_consensus import messages
from masticquay_consensus import settings as settings_module
from masticquay_wire import errors as wire_errors
from tests import fault_profiles
from tests import faulty_disks
from tests import invariants
from tests import simulated_hosts

CONVERGENCE_TIMEOUT_MS = 30_000


class Simulation:
    """The hosts, the network between them and the invariant checks."""

    def __init__(
        self,
        seed,
        host_count=5,
        voter_count=3,
        profiles=fault_profiles.FAULT_PROFILES,
    ):
        self.random = random.Random(seed)
        self.profile = profiles[seed % len(profiles)]
        self.now_ms = 0.0
        self.settings = settings_module.Settings(
            heartbeat_ms=self.profile.heartbeat_ms,
            election_min_ms=200,
            election_max_ms=400,
            drift_margin_ms=20,
            append_batch_bytes=40,
            snapshot_chunk_bytes=200,
            snapshot_interval_entries=8,
            retained_entries=3,
        )
        self.hosts = [
            simulated_hosts.Host(self, f'h{n}') for n in range(host_count)
        ]
        for host in self.hosts:
            host.start()
        self.host_by_id = {h.replica_id: h for h in self.hosts}
        configuration = messages.Configuration(
            [
                messages.Member(h.replica_id, h.name, '', True)
                for h in self.hosts[:voter_count]
            ]
        )
        for host in self.hosts[:voter_count]:
            host.replica.join_group(configuration)
        self.message_queue = []
        self.sequence = itertools.count()
        self.cut_routes = set()
        self.faults_enabled = True
        self.acknowledged = []
        self.pending_proposals = []
        self.command_numbers = itertools.count()
        self.invariants = invariants.InvariantChecker()
        self.wiped_count = 0
        self.handover_count = 0
        self.emptied_count = 0

    def run(self, steps):
        for _step in range(steps):
            self.inject_fault()
            self.step()
        self.stop_faults()
        self.converge()

    def step(self):
        self.now_ms += self.random.randint(1, self.profile.step_ms)
        for host in self.hosts:
            self.step_host(host)
        self.deliver_due()
        if self.faults_enabled:
            self.propose()
        self.invariants.check(self.hosts, self.now_ms)

    def step_host(self, host):
        replica = host.replica
        if replica is None:
            return
        host.run(replica.tick)
        for member in replica.state.configuration.members:
            if member.replica_id == replica.state.replica_id:
                continue
            request = host.run(replica.next_request, member.replica_id)
            if request is not None:
                self.invariants.check_candidate(host, request.message)
                self.send(host, request)
        if (
            not self.faults_enabled
            or self.random.random() < self.profile.flush
        ):
            host.run(replica.flush)
        if self.random.random() < 0.7:
            host.run(replica.apply)

    def send(self, host, request):
        target = self.host_by_id[request.member_id]
        replica = host.replica

        def deliver_request():
            self.receive(target, request, return_answer, return_error)

        def return_error(error):
            self.enqueue(target, host, lambda: accept_error(error))

        def accept_error(error):
            if host.replica is replica:
                host.run(replica.handle_failure, request, error)

        def return_answer(answer):
            self.enqueue(target, host, lambda: accept_answer(answer))

        def accept_answer(answer):
            if host.replica is replica:
                host.run(replica.handle_answer, request, answer)

        self.enqueue(host, target, deliver_request)
        if self.random.random() < 0.1:
            host.run(replica.handle_failure, request)

    def receive(self, target, request, return_answer, return_error):
        if target.replica is None:
            return
        try:
            answer = target.run(target.replica.handle, request.message)
        except wire_errors.RemoteError as error:
            return_error(error)
            return
        if isinstance(answer, futures.Future):
            answer.add_done_callback(
                lambda done: (
                    return_answer(done.result())
                    if done.exception() is None
                    else return_error(done.exception())
                )
            )
        elif answer is not None:
            return_answer(answer)

    def enqueue(self, source, target, action):
        """Schedules the delivery of a message.

        The message may be lost, delayed or delivered twice.
        """
        if (source.name, target.name) in self.cut_routes:
            return
        copies = 1
        delay_ms = 10
        if self.faults_enabled:
            copies = self.random.choice(self.profile.copies)
            delay_ms = self.random.choice(self.profile.delays_ms)
        for _copy in range(copies):
            due_ms = self.now_ms + self.random.uniform(0, delay_ms)
            heapq.heappush(
                self.message_queue, (due_ms, next(self.sequence), action)
            )

    def deliver_due(self):
        while self.message_queue and self.message_queue[0][0] <= self.now_ms:
            heapq.heappop(self.message_queue)[2]()

    def propose(self):
        for host in self.hosts:
            if host.replica is None:
                continue
            if self.faults_enabled and not self.chance(self.profile.propose):
                continue
            if host.replica.state.role != messages.ROLE_LEADER:
                continue
            command = b'%d' % next(self.command_numbers)
            future = host.run(host.replica.propose, command)
            if future is not None:
                future.add_done_callback(self.record_outcome(command))

    def record_outcome(self, command):
        def record(future):
            if future.exception() is None:
                self.acknowledged.append(command)
            elif not isinstance(
                future.exception(), errors.ProposalUnknownError
            ):
                raise AssertionError(future.exception())

        return record

    def inject_fault(self):
        profile = self.profile
        host = self.random.choice(self.hosts)
        if self.chance(profile.partition):
            self.partition()
        if self.chance(profile.one_way_cut):
            other = self.random.choice(self.hosts)
            self.cut_routes.add((host.name, other.name))
        if self.chance(profile.heal):
            self.cut_routes.clear()
        if self.chance(profile.power_cut):
            for crashed in self.hosts:
                crashed.crash()
        if self.chance(profile.mass_restart):
            self.mass_restart()
        if self.chance(profile.hand_over):
            self.hand_over()
        if self.chance(profile.crash):
            host.crash()
        if self.chance(profile.disk_crash):
            host.disk.operations_to_crash = self.random.randint(0, 6)
        if self.chance(profile.wipe):
            self.wipe()
        if profile.full_disk:
            self.fill_disks()
        if host.replica is None and self.chance(profile.restart):
            host.start()
        if self.chance(profile.membership_change):
            self.change_members()

    def fill_disks(self):
        """Lets a disk be full after some writes, or gives some room."""
        for host in self.hosts:
            if host.disk.full and self.chance(self.profile.room):
                host.disk.make_room()
                self.emptied_count += 1
        if self.chance(self.profile.full_disk):
            disk = self.random.choice(self.hosts).disk
            disk.writes_to_full = self.random.randint(0, 6)

    def chance(self, probability):
        return self.random.random() < probability

    def partition(self):
        """Separates two random hosts from the others."""
        side = set(self.random.sample(self.hosts, 2))
        for one in side:
            for other in set(self.hosts) - side:
                self.cut_routes.add((one.name, other.name))
                self.cut_routes.add((other.name, one.name))

    def hand_over(self):
        """Makes a leader step down and ask a follower to take over.

        It gives up its lease, so the next leader need not wait until that has
        expired.
        """
        leader = next((h for h in self.hosts if h.is_leading), None)
        if leader is None:
            return
        request = leader.run(leader.replica.step_down)
        if request is not None:
            self.handover_count += 1
            self.invariants.end_lease(request.message.term)
            assert not leader.replica.lease_remaining_ms()
            self.send(leader, request)

    def mass_restart(self):
        """Restarts most hosts at once; a leader often keeps running."""
        for host in self.hosts:
            keeps_running = host.is_leading and self.chance(0.5)
            if not keeps_running and self.chance(0.8):
                host.crash()
                host.start()

    def change_members(self):
        """Proposes to the leader a change of one member.

        Removes a member that lost its disk, else promotes a synced learner,
        else adds a learner or removes a random member.
        """
        host = next((h for h in self.hosts if h.is_leading), None)
        if host is None:
            return
        members = host.replica.state.configuration.members
        lost = self.lost_members(host)
        non_members = [
            h
            for h in self.hosts
            if h.replica
            and not any(m.replica_id == h.replica_id for m in members)
        ]
        learner = next((m for m in members if not m.voter), None)
        if lost and (len(members) > 3 or not lost[0].voter):
            members = [m for m in members if m is not lost[0]]
        elif learner is not None:
            if not host.replica.is_synced(learner.replica_id):
                return
            voter = messages.Member(
                learner.replica_id, learner.name, '', voter=True
            )
            members = [voter if m is learner else m for m in members]
        elif non_members and self.random.random() < 0.6:
            added = self.random.choice(non_members)
            members = [
                *members,
                messages.Member(added.replica_id, added.name, '', False),
            ]
        elif len(members) > 3 and not lost:
            members = list(members)
            members.remove(self.random.choice(members))
        else:
            return
        host.run(
            host.replica.propose_configuration, messages.Configuration(members)
        )

    def lost_members(self, leader):
        """Returns the members whose identity was lost with their disk."""
        live = {h.replica_id for h in self.hosts}
        members = leader.replica.state.configuration.members
        return [m for m in members if m.replica_id not in live]

    def wipe(self):
        """Replaces the disk of a host if a quorum remains without it."""
        leader = next((h for h in self.hosts if h.is_leading), None)
        if leader is None or not leader.replica.lease_remaining_ms():
            return
        state = leader.replica.state
        pending = state.configuration_index > state.commit_index
        if pending or self.lost_members(leader):
            return
        if len(state.configuration.voter_ids()) < 3:
            return
        host = self.random.choice([h for h in self.hosts if h is not leader])
        host.crash()
        host.disk = faulty_disks.FaultyDisk(self.random)
        host.start()
        self.host_by_id[host.replica_id] = host
        self.wiped_count += 1

    def stop_faults(self):
        """Ends all faults and starts the hosts that have crashed."""
        self.faults_enabled = False
        self.cut_routes.clear()
        for host in self.hosts:
            host.disk.operations_to_crash = None
            host.disk.make_room()
            if host.replica is None:
                host.start()

    def converge(self):
        """Checks that without faults all members apply the same commands.

        These must include every acknowledged command exactly once.
        """
        self.step_until_converged()
        self.propose()
        self.step_until_converged()
        for host in self.member_hosts():
            commands = host.state_machine.commands
            assert len(commands) == len(set(commands)), (
                'a command was applied twice'
            )
            missing = set(self.acknowledged) - set(commands)
            assert not missing, f'commands {missing} missing at {host.name}'
            for command in self.acknowledged:
                assert commands.count(command) == 1

    def step_until_converged(self):
        end_ms = self.now_ms + CONVERGENCE_TIMEOUT_MS
        self.step()
        while not self.has_converged():
            assert self.now_ms < end_ms, 'the group makes no progress'
            self.step()

    def has_converged(self):
        """Whether all members have applied all that the leader committed."""
        hosts = self.member_hosts()
        if len(hosts) < 2:
            return False
        applied = {h.replica.state.applied_index for h in hosts}
        command_logs = {tuple(h.state_machine.commands) for h in hosts}
        leader = next((h for h in hosts if h.is_leading), None)
        return (
            leader is not None
            and self.read_index(leader) in applied
            and len(applied) == 1
            and len(command_logs) == 1
        )

    def read_index(self, leader):
        try:
            return leader.replica.read_barrier()
        except errors.NotLeaderError:
            return None

    def member_hosts(self):
        """Returns the hosts that are members of the newest leader's group."""
        leader = max(
            (h for h in self.hosts if h.is_leading),
            key=lambda h: h.replica.state.term,
            default=None,
        )
        if leader is None:
            return []
        configuration = leader.replica.state.configuration
        return [h for h in self.hosts if configuration.member(h.replica_id)]


def run_seed(seed, steps=0, profiles=fault_profiles.FAULT_PROFILES):
    """Runs the simulation of a seed and returns it.

    :param profiles: which the seed chooses from
    :param steps: how many steps to run, 0 for the number in its profile
    """
    simulation = Simulation(seed, profiles=profiles)
    simulation.run(steps or simulation.profile.steps)
    return simulation
