"""Writes day files that put each kind of trouble in force, alone or in pairs.

``python deploy/kind_days.py FOLDER`` writes one day for each kind and variant,
which strikes twice and ends with a final fault. ``python deploy/kind_days.py
FOLDER SEED COUNT`` writes days with two kinds that overlap, drawn by seed.
The users' bench plays each with ``run SITE FILE``; builds of one checkout must
not overlap, so days that are played at once need a checkout each.
"""

import pathlib
import random
import re
import sys

FINAL_FAULTS = ('power_off_all', 'wipe_after_ack', 'kill_all')
SERVER_FAILURES = ('errors', 'shed', 'busy', 'hang', 'reset', 'mute', 'slow')
WRONG_ANSWERS = ('', 'extra', 'unframed', 'early', 'rot', 'extra late')
LEADER_LOSSES = (
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
INVALID_TABLES = (
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
TABLE_CHANGES = (
    'route',
    'weights',
    'timeout',
    'tenant',
    'quota',
    'quota down',
    'topup',
    'idle',
)


def _with(fields: str, variants: tuple[str, ...]) -> list[str]:
    joined = f'{fields}, ' if fields else ''
    return [f'{joined}how = "{variant}"' for variant in variants]


PLANNED = {
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
    'config_change': _with('', TABLE_CHANGES),
    'config_race': ['count = 5, gap_s = 0.5'],
    'config_storm': ['count = 10, gap_s = 0.3'],
    'bad_config': _with('count = 5, gap_s = 0.5', INVALID_TABLES),
    'big_config': ['count = 200'],
    'revoke': ['count = 2, gap_s = 1', 'count = 2, gap_s = 1, how = "last"'],
    'release': ['share = 0.5, gap_s = 1.0'],
    'scale_in': ['share = 0.3', 'share = 0.3, how = "spot"']
    + _with('', ('reclaim', 'reclaim dry')),
    'scale_out': ['share = 0.5, gap_s = 1'],
    'replace_core': ['x = 1.0']
    + _with('x = 1.0', ('planned', 'oldest', 'seed')),
}
SUDDEN = {
    'burst': ['x = 2.0'],
    'hot_tenant': ['x = 8'],
    'retry_abuse': ['x = 3, share = 0.4'],
    'give_up': ['share = 0.3', 'share = 0.3, how = "once"'],
    'srv_crash': ['share = 0.3']
    + _with('share = 0.3', ('dark', 'gone', 'domain', 'rack', 'across')),
    'srv_slow': ['share = 0.3, x = 4'],
    'srv_grey': _with('share = 0.3', (*SERVER_FAILURES, 'one_zone errors')),
    'answer_lost': ['share = 0.6, x = 0.05']
    + _with('share = 0.6, x = 0.05', ('reset',)),
    'garble': _with('share = 0.6, x = 0.03', WRONG_ANSWERS),
    'node_kill': ['share = 0.3', 'share = 0.3, how = "power"']
    + _with('on = "core", count = 1', LEADER_LOSSES),
    'node_freeze': ['share = 0.3']
    + _with('on = "core", count = 1', ('leader', 'renewed', 'giver race')),
    'node_slow': ['share = 0.3, x = 5', 'on = "core", count = 1, x = 5'],
    'herd_kill': ['share = 0.6', 'share = 0.6, how = "power"', 'on = "core"']
    + _with('', ('taken', 'taken all'))
    + ['on = "core", how = "off"'],
    'after_ack_kill': ['', 'how = "timed"', 'count = 2'],
    'after_ack_wipe': ['', 'how = "oldest"', 'how = "timed"'],
    'disk_full': ['count = 1'],
    'disk_stall': ['count = 1'],
    'disk_slow': ['count = 1, x = 30'],
    'core_cut': _with('count = 1', CORE_CUTS),
    'node_cut': ['share = 0.3']
    + _with(
        'share = 0.3', ('all', 'servers', 'servers reborn', 'all one_way')
    ),
    'lossy': ['x = 0.03'],
    'ack_lost': ['x = 0.7'],
    'applied_late': _with('x = 0.5', ('orders', 'all')),
    'kv_slow': ['share = 0.5, x = 8', 'how = "zones"'],
    'handle_short': ['share = 0.5'],
    'srv_cut': ['share = 0.3']
    + _with(
        'share = 0.3',
        ('fronts', 'some', 'some lossy', 'reborn', 'reset', 'one_way'),
    ),
    'replace_with_reuse': ['share = 0.3']
    + _with('share = 0.3', ('drain', 'dark', 'side')),
    'clock_step': ['share = 0.5, x = 3000']
    + _with('share = 0.5, x = 3000', ('back', 'ahead')),
    'reset_conns': [
        'share = 0.5, x = 0.5',
        'on = "core", share = 1.0, x = 1.0',
    ],
}


class Trouble:
    """One kind of trouble in one variant."""

    __slots__ = ('kind', 'fields')

    def __init__(self, kind: str, fields: str):
        self.kind = kind
        self.fields = fields

    def entry(self, at_s: float) -> str:
        """Returns the line of a day file that lets it strike."""
        rest = f', {self.fields}' if self.fields else ''
        return f'  {{ at = {at_s:.2f}, kind = "{self.kind}"{rest} }},\n'


def list_troubles() -> list[Trouble]:
    """Returns every kind in every variant."""
    return [
        Trouble(kind, fields)
        for kinds in (PLANNED, SUDDEN)
        for kind, variants in kinds.items()
        for fields in variants
    ]


def write_day(
    folder: pathlib.Path,
    name: str,
    troubles: list[Trouble],
    randomness: random.Random,
) -> None:
    """Writes a day on which each trouble strikes twice."""
    parts = {True: '', False: ''}
    for trouble in troubles:
        for first_s, last_s in ((2.0, 6.0), (10.0, 18.0)):
            entry = trouble.entry(randomness.uniform(first_s, last_s))
            parts[trouble.kind in PLANNED] += entry
    final = randomness.choice(FINAL_FAULTS)
    (folder / f'{name}.toml').write_text(
        f'[[day]]\nname = "{name[:40]}"\n'
        f'seed = {randomness.randrange(10**6)}\n'
        f'plan = [\n{parts[True]}]\nfaults = [\n{parts[False]}]\n'
        f'closing = {{ kind = "{final}", down_s = 1.0 }}\n'
    )


def main() -> None:
    """Writes the days that the command line asks for."""
    folder = pathlib.Path(sys.argv[1])
    folder.mkdir(parents=True, exist_ok=True)
    troubles = list_troubles()
    if len(sys.argv) > 2:
        randomness = random.Random(int(sys.argv[2]))
        for number in range(int(sys.argv[3])):
            pair = randomness.sample(troubles, 2)
            kinds = '-'.join(trouble.kind for trouble in pair)
            name = f'pair-{sys.argv[2]}-{number}-{kinds}'
            write_day(folder, name, pair, randomness)
        return
    for number, trouble in enumerate(troubles):
        words = re.findall(r'[a-z0-9]+', f'{trouble.kind} {trouble.fields}')
        name = '-'.join(words)
        write_day(folder, name, [trouble], random.Random(number))


if __name__ == '__main__':
    main()
