"""Which faults a simulation of replicas has, and how often."""


class FaultProfile:
    """Parameters of a simulation; a fault has its probability per step.

    :param delays_ms: values from which the longest delay of a message is drawn
    :param copies: values from which the number of copies of a message that
        arrive is drawn
    :param step_ms: the longest time between two steps
    :param partition: separates two hosts from the others
    :param one_way_cut: blocks the route from one host to another
    :param heal: unblocks all routes
    :param crash: crashes a host
    :param disk_crash: crashes a host at one of its next disk operations
    :param restart: starts a host that has crashed
    :param membership_change: proposes to add, promote or remove a member
    :param flush: the probability that a host syncs its log in a step
    :param power_cut: crashes all hosts
    :param wipe: replaces the disk of a host
    :param propose: the probability that a leader proposes a command in a step
    :param steps: how many steps the simulation has
    :param heartbeat_ms: the heartbeat interval of the replicas
    :param mass_restart: restarts most hosts at once
    :param hand_over: transfers leadership
    :param full_disk: fills a disk at one of its next writes
    :param room: the probability that a full disk has room in the next step
    """

    def __init__(
        self,
        delays_ms=(5, 5, 20, 60, 400),
        copies=(0, 1, 1, 1, 1, 1, 1, 2),
        step_ms=25,
        partition=0.01,
        one_way_cut=0.005,
        heal=0.015,
        crash=0.01,
        disk_crash=0.02,
        restart=0.3,
        membership_change=0.04,
        flush=0.7,
        power_cut=0.0,
        wipe=0.0,
        propose=0.5,
        steps=250,
        heartbeat_ms=50,
        mass_restart=0.0,
        hand_over=0.02,
        full_disk=0.0,
        room=0.02,
    ):
        self.delays_ms = delays_ms
        self.copies = copies
        self.step_ms = step_ms
        self.partition = partition
        self.one_way_cut = one_way_cut
        self.heal = heal
        self.crash = crash
        self.disk_crash = disk_crash
        self.restart = restart
        self.membership_change = membership_change
        self.flush = flush
        self.power_cut = power_cut
        self.wipe = wipe
        self.propose = propose
        self.steps = steps
        self.heartbeat_ms = heartbeat_ms
        self.mass_restart = mass_restart
        self.hand_over = hand_over
        self.full_disk = full_disk
        self.room = room


FAULT_PROFILES = (
    FaultProfile(wipe=0.02),
    FaultProfile(
        delays_ms=(1, 2),
        copies=(1,),
        step_ms=6,
        one_way_cut=0.02,
        heal=0.01,
        membership_change=0.01,
        propose=0.02,
        steps=600,
    ),
    FaultProfile(
        crash=0.05,
        disk_crash=0.05,
        restart=0.3,
        flush=0.3,
        power_cut=0.01,
        wipe=0.02,
    ),
    FaultProfile(
        delays_ms=(2, 200),
        partition=0.04,
        heal=0.04,
        crash=0.03,
        restart=0.2,
        membership_change=0.0,
        flush=0.4,
        power_cut=0.01,
    ),
    # Hosts restart repeatedly, faster than leases expire.
    FaultProfile(
        heartbeat_ms=140,
        delays_ms=(1, 1, 1, 1, 60),
        step_ms=3,
        partition=0.0,
        one_way_cut=0.0,
        mass_restart=0.012,
        crash=0.003,
        disk_crash=0.001,
        restart=0.9,
        membership_change=0.02,
        flush=0.95,
        power_cut=0.002,
        wipe=0.002,
        propose=0.02,
        steps=1500,
    ),
)

FULL_DISK_PROFILES = (
    FaultProfile(full_disk=0.03, wipe=0.02),
    # Nothing but full disks, several at once.
    FaultProfile(
        delays_ms=(1, 2),
        copies=(1,),
        partition=0.0,
        one_way_cut=0.0,
        crash=0.0,
        disk_crash=0.0,
        full_disk=0.1,
        steps=400,
    ),
    FaultProfile(
        full_disk=0.05,
        room=0.1,
        crash=0.04,
        disk_crash=0.04,
        restart=0.3,
        flush=0.4,
        power_cut=0.01,
    ),
)
