"""Writes day files that test one or two kinds of disturbance each.

A disturbance is a planned operation or a fault. A day is a short scenario for
the bench with which the users test a deployment. A day file is a TOML file
that lists the disturbances of a day with the seconds at which they occur, and
the closing fault at its end.

``python deploy/kind_days.py FOLDER`` writes one day for each kind and variant
of disturbance, in which it occurs twice before the closing fault. ``python
deploy/kind_days.py FOLDER SEED COUNT`` writes COUNT days with two kinds each,
drawn at random from SEED.

The bench's command ``run SITE FILE`` runs the day in FILE at a site of the
bench. It first builds the deployment in the current checkout. Two builds in
one checkout must not overlap, so days that run at once need a checkout each.
"""

import pathlib
import random
import re
import sys

# Faults at the end of a day. All kinds, fields and variants in this file are
# names that the bench defines.
CLOSING_FAULTS = ('power_off_all', 'wipe_after_ack', 'kill_all')
SERVER_FAULTS = ('errors', 'shed', 'busy', 'hang', 'reset', 'mute', 'slow')
GARBLED_ANSWERS = ('', 'extra', 'unframed', 'early', 'rot', 'extra late')
CORE_KILLS = (
    'leader',
    'reader',
    'giver',
    'renewed',
    'follower',
    'seed',
    'power leader',
    'leader meet',
    'leader race',
    'leader hard',
    'leader drain',
    'follower power wipe',
)
CORE_CUTS = (
    '',
    'behind',
    'split',
    'all',
    'near',
    'oldest',
    'one_way',
    'seeds',
    'both',
    'lure',
    'relieve',
    'leader',
    'reset',
    'refuse',
    'leader one_way race',
    'split meet',
)
INVALID_CONFIGS = (
    'cut_short',
    'unknown_service',
    'same_place',
    'no_weight',
    'no_timeout',
    'old_version',
    'same_version',
    'stale_match',
    'shared_key',
)
CONFIG_CHANGES = (
    'route',
    'weights',
    'timeout',
    'tenant',
    'quota',
    'quota down',
    'topup',
    'idle',
)


def _with_variants(fields: str, variants: tuple[str, ...]) -> list[str]:
    """Returns the given fields with ``how`` added, once for each variant.

    :param fields: the fields that all variants have, as TOML
    """
    joined = f'{fields}, ' if fields else ''
    return [f'{joined}how = "{variant}"' for variant in variants]


# For each kind, the further fields of its entry in each variant, as TOML.
PLANNED_OPERATIONS = {
    'roll_term': [
        'share = 1.0, x = 1.0, gap_s = 1.0',
        'on = "core", x = 1.0, gap_s = 2.0',
        'on = "core", how = "leader"',
        'how = "starter"',
        'how = "busy", gap_s = 1.0',
        'share = 0.3, how = "remove"',
    ],
    'hup': ['share = 1.0, gap_s = 1'],
    'seed_turnover': [''],
    'config_change': _with_variants('', CONFIG_CHANGES),
    'config_race': ['count = 5, gap_s = 0.5'],
    'config_storm': ['count = 10, gap_s = 0.3'],
    'bad_config': _with_variants('count = 5, gap_s = 0.5', INVALID_CONFIGS),
    'big_config': ['count = 200'],
    'revoke': ['count = 2, gap_s = 1', 'count = 2, gap_s = 1, how = "last"'],
    'release': ['share = 0.5, gap_s = 1.0'],
    'scale_in': ['share = 0.3', 'share = 0.3, how = "spot"']
    + _with_variants('', ('reclaim', 'reclaim dry')),
    'scale_out': ['share = 0.5, gap_s = 1'],
    'replace_core': ['x = 1.0']
    + _with_variants('x = 1.0', ('planned', 'oldest', 'seed')),
}
FAULTS = {
    'burst': ['x = 2.0'],
    'hot_tenant': ['x = 8'],
    'retry_abuse': ['x = 3, share = 0.4'],
    'give_up': ['share = 0.3', 'share = 0.3, how = "once"'],
    'srv_crash': ['share = 0.3']
    + _with_variants(
        'share = 0.3', ('dark', 'gone', 'domain', 'rack', 'across')
    ),
    'srv_slow': ['share = 0.3, x = 4'],
    'srv_grey': _with_variants(
        'share = 0.3', (*SERVER_FAULTS, 'one_zone errors')
    ),
    'answer_lost': ['share = 0.6, x = 0.05']
    + _with_variants('share = 0.6, x = 0.05', ('reset',)),
    'garble': _with_variants('share = 0.6, x = 0.03', GARBLED_ANSWERS),
    'node_kill': ['share = 0.3', 'share = 0.3, how = "power"']
    + _with_variants('on = "core", count = 1', CORE_KILLS),
    'node_freeze': ['share = 0.3']
    + _with_variants(
        'on = "core", count = 1', ('leader', 'renewed', 'giver race')
    ),
    'node_slow': ['share = 0.3, x = 5', 'on = "core", count = 1, x = 5'],
    'herd_kill': ['share = 0.6', 'share = 0.6, how = "power"', 'on = "core"']
    + _with_variants('', ('taken', 'taken all'))
    + ['on = "core", how = "off"'],
    'after_ack_kill': ['', 'how = "timed"', 'count = 2'],
    'after_ack_wipe': ['', 'how = "oldest"', 'how = "timed"'],
    'disk_full': ['count = 1'],
    'disk_stall': ['count = 1'],
    'disk_slow': ['count = 1, x = 30'],
    'core_cut': _with_variants('count = 1', CORE_CUTS),
    'node_cut': ['share = 0.3']
    + _with_variants(
        'share = 0.3', ('all', 'servers', 'servers reborn', 'all one_way')
    ),
    'lossy': ['x = 0.03'],
    'ack_lost': ['x = 0.7'],
    'applied_late': _with_variants('x = 0.5', ('orders', 'all')),
    'kv_slow': ['share = 0.5, x = 8', 'how = "zones"'],
    'handle_short': ['share = 0.5'],
    'srv_cut': ['share = 0.3']
    + _with_variants(
        'share = 0.3',
        ('fronts', 'some', 'some lossy', 'reborn', 'reset', 'one_way'),
    ),
    'replace_with_reuse': ['share = 0.3']
    + _with_variants('share = 0.3', ('drain', 'dark', 'side')),
    'clock_step': ['share = 0.5, x = 3000']
    + _with_variants('share = 0.5, x = 3000', ('back', 'ahead')),
    'reset_conns': [
        'share = 0.5, x = 0.5',
        'on = "core", share = 1.0, x = 1.0',
    ],
}


class Disturbance:
    """One kind of operation or fault in one variant.

    :param fields: further fields of its entries in a day file, as TOML
    """

    __slots__ = ('kind', 'fields')

    def __init__(self, kind: str, fields: str):
        self.kind = kind
        self.fields = fields

    def format_entry(self, at_s: float) -> str:
        """Returns the line of a day file for one occurrence."""
        more_fields = f', {self.fields}' if self.fields else ''
        return f'  {{ at = {at_s:.2f}, kind = "{self.kind}"{more_fields} }},\n'


def list_disturbances() -> list[Disturbance]:
    """Returns a disturbance for every kind and variant."""
    return [
        Disturbance(kind, fields)
        for variants_by_kind in (PLANNED_OPERATIONS, FAULTS)
        for kind, variants in variants_by_kind.items()
        for fields in variants
    ]


def write_day(
    folder: pathlib.Path,
    name: str,
    disturbances: list[Disturbance],
    rng: random.Random,
) -> None:
    """Writes a day in which each disturbance occurs twice."""
    # Key True holds the planned operations, False the faults.
    entries = {True: '', False: ''}
    for disturbance in disturbances:
        for first_s, last_s in ((2.0, 6.0), (10.0, 18.0)):
            entry = disturbance.format_entry(rng.uniform(first_s, last_s))
            entries[disturbance.kind in PLANNED_OPERATIONS] += entry
    closing_fault = rng.choice(CLOSING_FAULTS)
    (folder / f'{name}.toml').write_text(
        f'[[day]]\nname = "{name[:40]}"\n'
        f'seed = {rng.randrange(10**6)}\n'
        f'plan = [\n{entries[True]}]\nfaults = [\n{entries[False]}]\n'
        f'closing = {{ kind = "{closing_fault}", down_s = 1.0 }}\n'
    )


def main() -> None:
    """Writes the days that the command line selects; see the module."""
    folder = pathlib.Path(sys.argv[1])
    folder.mkdir(parents=True, exist_ok=True)
    disturbances = list_disturbances()
    if len(sys.argv) > 2:
        rng = random.Random(int(sys.argv[2]))
        for number in range(int(sys.argv[3])):
            pair = rng.sample(disturbances, 2)
            kinds = '-'.join(disturbance.kind for disturbance in pair)
            name = f'pair-{sys.argv[2]}-{number}-{kinds}'
            write_day(folder, name, pair, rng)
        return
    for number, disturbance in enumerate(disturbances):
        words = re.findall(
            r'[a-z0-9]+', f'{disturbance.kind} {disturbance.fields}'
        )
        name = '-'.join(words)
        write_day(folder, name, [disturbance], random.Random(number))


if __name__ == '__main__':
    main()
