"""The text of docs/CAPACITY.md."""

import typing

from masticquay_bench import slopes
from masticquay_bench import targets

NOT_MEASURED = 'not measured'
EFFECT_SHARES = (0.001, 0.01, 0.05)


class Figures(typing.Protocol):
    """What the page asks of the capacity model."""

    size: targets.Sizes

    def value(self, name: str) -> float | None:
        """Returns a measured figure."""

    def entry_core_share(self) -> float | None:
        """Returns the core share of an entry host."""

    def entry_memory_mb(self) -> float | None:
        """Returns the memory of an entry host."""

    def scheduler_core_share(self) -> float | None:
        """Returns the core share of one pool shard's scheduler."""

    def limiter_core_share(self) -> float | None:
        """Returns the core share of the limiter of a mean workspace."""

    def leader_core_share(self, hosts: int) -> float | None:
        """Returns the core share of the control leader with idle hosts."""

    def records_core_share(self, per_s: float, slope: str) -> float | None:
        """Returns what non-idempotent calls add to a control host."""

    def control_memory_mb(self, hosts: int) -> float | None:
        """Returns the memory of a control leader."""

    def watch_bytes_per_s(self) -> float:
        """Returns what changes cost each host, averaged over a day."""

    def view_bytes_per_day(self) -> float:
        """Returns the bytes of view changes to one host in a day."""

    def host_bytes_per_s(self) -> float | None:
        """Returns the control traffic of one host."""

    def largest_fleet(self, budget: float) -> float | None:
        """Returns how many hosts the leader carries within a core share."""


def render(model: Figures, measured: list[slopes.Slope]) -> str:
    """Writes the whole page."""
    parts = [
        _render_head(model.size),
        _render_roles(model),
        _render_budget(model),
        _render_intents(model),
        _render_regions(model),
        _render_losses(model),
        _render_slopes(measured),
    ]
    return '\n'.join(parts)


def _render_head(size: targets.Sizes) -> str:
    return f"""# Capacity at the target

`make capacity` writes this page from `docs/measurements/*.json`.
It extrapolates straight lines from small fleets on one machine to the target;
nothing of the target's size was run. "{NOT_MEASURED}" stands where a slope is
missing. The way on the users' platform has a page of its own,
[CAPACITY-platform](CAPACITY-platform.md).

The target: {size.hosts} nodes before {size.servers} servers on \
{size.accelerators:,} accelerators,
{size.requests_per_s:,} requests and {size.tokens_per_s:,} tokens a second, \
{size.workspaces} workspaces, {size.models} models,
{size.regions} regions with {size.places} data centres,
{size.changes_per_day} changes a day in force within \
{size.in_force_ms / 1000:.0f} s;
for control at most {size.control_core_share:.1%} of a core, \
{size.control_memory_mb} MB and {size.control_bytes_per_s / 1000:.0f} KB/s a \
node and {size.control_hosts} hosts set aside.
"""


def _render_roles(model: Figures) -> str:
    size = model.size
    streams = size.tokens_per_host * size.token_gap_s
    rows = [
        (
            'entry host',
            f'{streams:.0f} streams, the bundle, the view',
            f'{size.requests_per_host:.2f} requests, '
            f'{size.tokens_per_host:,.0f} tokens',
            _share(model.entry_core_share()),
            _megabytes(model.entry_memory_mb()),
            'bytes of tokens are relayed without a parse each',
        ),
        (
            'pool scheduler (a shard)',
            f'{size.shard_endpoints} endpoints, queue, prefix index',
            f'{size.requests_per_shard:.1f} requests; loads and cache events',
            _share(model.scheduler_core_share()),
            NOT_MEASURED,
            f'{size.shards} shards over {size.hosts} hosts by rendezvous',
        ),
        (
            'rate limiter (a workspace)',
            'a bucket and the grants of its hosts',
            f'{size.requests_per_workspace:.1f} charges, fewer grants',
            _share(model.limiter_core_share()),
            NOT_MEASURED,
            'grants of several requests, one owner a workspace',
        ),
        (
            'control leader',
            'leases, the log, intents, the ledger',
            f'{size.hosts} renewals in a few aggregates',
            _share(model.leader_core_share(size.hosts)),
            _megabytes(model.control_memory_mb(size.hosts)),
            'replicas gather renewals; only changes are logged',
        ),
        (
            'control replica',
            'a copy of the log, watches of its hosts',
            f'{size.hosts / size.control_hosts:.0f} hosts renew with it',
            f'{_share(model.value("log_follower_core_share"))} for the log '
            'alone',
            NOT_MEASURED,
            'deltas pushed to the hosts that watch it',
        ),
        (
            'watcher (each host)',
            'one link to a replica',
            f'1 renewal; {size.changes_per_day} changes a day',
            _share(model.value('watcher_core_share')),
            NOT_MEASURED,
            f'one link, {_kilobytes(model.host_bytes_per_s())} a second',
        ),
    ]
    lines = [
        '## Roles',
        '',
        '| role | state | messages a second | core | memory | carried by |',
        '|-|-|-|-|-|-|',
    ]
    lines += ['| ' + ' | '.join(row) + ' |' for row in rows]
    return '\n'.join(lines) + '\n'


def _render_budget(model: Figures) -> str:
    size = model.size
    lines = ['## Over budget, and what breaks first', '']
    leader = model.leader_core_share(size.hosts)
    memory_mb = model.control_memory_mb(size.hosts)
    traffic = model.host_bytes_per_s()
    entry = model.entry_core_share()
    relay = model.value('relay_us_per_token')
    lines.append(
        _judge(
            'control leader, processor',
            leader,
            size.control_core_share,
            _share,
        )
    )
    lines.append(
        _judge(
            'control leader, private memory',
            memory_mb,
            float(size.control_memory_mb),
            _megabytes,
        )
    )
    lines.append(
        _judge(
            'control traffic of a host',
            traffic,
            float(size.control_bytes_per_s),
            _kilobytes,
        )
    )
    lines.append(
        _judge('relay of a token', relay, 100.0, lambda v: _number(v, 'us'))
    )
    lines.append(_judge('entry host, processor', entry, 1.0, _share))
    shard = model.scheduler_core_share()
    lines.append(
        _judge('scheduler of a shard', shard, size.control_core_share, _share)
    )
    for what, name in (('bundle', 'roll'), ('withdrawal', 'withdrawal')):
        lines.append(
            _judge(
                f'{what} in force at {size.hosts} hosts',
                model.value(f'{name}_ms_400'),
                float(size.in_force_ms),
                lambda v: _number(v, 'ms'),
            )
        )
    largest = model.largest_fleet(size.control_core_share)
    if largest is None:
        lines.append(f'* size at which the leader breaks: {NOT_MEASURED}')
    elif largest < 0:
        lines.append(
            '* the leader is over its processor budget already without hosts'
        )
    else:
        lines.append(
            f'* the leader reaches {size.control_core_share:.1%} of a core at '
            f'{largest:,.0f} idle hosts'
        )
    lines += [
        '',
        'The memory of a control process is given whole, with the interpreter '
        'and the',
        'libraries; growth over an entry host, which has most of these loaded '
        'too, is less.',
        'Read as a limit for each host that runs control, the leader is '
        'judged above. Read as',
        f'a limit for ordinary hosts, with {size.control_hosts} set aside, '
        'the watcher counts: '
        + _share(model.value('watcher_core_share'))
        + ' of a core',
        f'and {_kilobytes(traffic)} a second.',
        '',
        f'A bundle of this size is {size.bundle_bytes():,} bytes and a view '
        f'{size.view_bytes():,} bytes. On a day',
        f'{size.changes_per_day} bundles and '
        f'{size.failures_per_day + 2 * size.restarts_per_day} view changes '
        f'reach each host: {model.watch_bytes_per_s():,.0f} bytes a second',
        'on average, if each carries its whole state.',
        '',
    ]
    return '\n'.join(lines)


def _render_intents(model: Figures) -> str:
    size = model.size
    lines = [
        '## Non-idempotent calls',
        '',
        'Each commits two records. The target does not say how many of the '
        'calls are',
        'non-idempotent, so the table gives three shares.',
        '',
        '| share of calls | calls/s | leader core | follower core |',
        '|-|-|-|-|',
    ]
    for share in EFFECT_SHARES:
        per_s = share * size.requests_per_s
        leader = model.records_core_share(
            per_s, 'control_leader_us_per_intent'
        )
        follower = model.records_core_share(
            per_s, 'control_follower_us_per_intent'
        )
        lines.append(
            f'| {share:.1%} | {per_s:.1f} | {_share(leader)} '
            f'| {_share(follower)} |'
        )
    limit = model.value('control_leader_us_per_intent')
    if limit:
        per_s = size.control_core_share * 1e6 / limit
        lines += [
            '',
            f'The budget of {size.control_core_share:.1%} of a core is '
            f'reached at {per_s:.1f} such calls a second',
            f'({per_s / size.requests_per_s:.2%} of all). Beyond that the '
            'records of calls need groups of',
            'their own, apart from the one that holds views and bundles.',
        ]
    return '\n'.join(lines) + '\n'


def _render_regions(model: Figures) -> str:
    size = model.size
    half = size.hosts // size.regions
    one = model.leader_core_share(size.hosts)
    each = model.leader_core_share(half)
    return f"""## Regions without each other

One control group over both regions has {size.control_hosts} replicas, say 4 \
and 3. While the regions
lose each other for minutes, the region with 3 has no quorum: its hosts lose
their leases within 3 s and refuse keyed work until it is back, that is \
{half} hosts and
half of the {size.requests_per_s:,} requests a second. Several times a year, \
five minutes each, would refuse
about {size.requests_per_s / 2 * 300:,.0f} requests each time.

One group for each region needs {size.regions} times 3 hosts, \
{size.regions * 3} of the {size.control_hosts} that may be set aside,
and keeps both regions at work. Its leader carries {half} hosts: \
{_share(each)} of a core instead of
{_share(one)}. Keys and workspaces are homed in one region, whose group alone \
holds their
rates, intents and withdrawals; a bundle is rolled to each group by itself, so
"in force everywhere" is then a statement about two groups, and a region
that is cut off cannot have a new bundle until it is back. A workspace that
uses both regions needs a part of its rate in each.

The second way fits the limits above; it is not built. Today's fleets have
one region and one group.
"""


def _render_losses(model: Figures) -> str:
    size = model.size
    rack = size.hosts // 20
    place = size.hosts // size.places
    return f"""## Loss of a rack or a data centre

A rack of {rack} hosts (a twentieth) or a data centre of {place} hosts goes \
silent at once. All their
leases end within the same 3 s and drift margin, and evictions within 200 ms go
into one record, so either is one view change of {size.view_bytes():,} bytes \
to each of the
remaining hosts. The {size.shards / size.places:.0f} pool shards of a lost \
data centre lose their endpoints with their
hosts; the others keep their owners, since rendezvous hashing moves only what
the lost hosts owned. {size.workspaces / size.places:.0f} workspaces get \
a new limiter, which starts at zero plus the
refill. Control needs its replicas spread so that no data centre holds a
majority: of 3 replicas one in each of three places, of {size.control_hosts} \
at most 3 in one region's
larger place. The remaining {size.places - 1} data centres carry \
{size.tokens_per_s / (size.hosts - place):,.0f} tokens a second a host.

The time until work goes on after these losses at the target's size: \
{NOT_MEASURED}.
"""


def _render_slopes(measured: list[slopes.Slope]) -> str:
    lines = [
        '## Slopes',
        '',
        '| slope | value | unit | command | seed | commit | what |',
        '|-|-|-|-|-|-|-|',
    ]
    lines += [
        f'| {s.name} | {s.value:.4g} | {s.unit} | `{s.command}` | {s.seed} '
        f'| {s.commit} | {s.note} |'
        for s in measured
    ]
    return '\n'.join(lines) + '\n'


def _judge(
    what: str,
    value: float | None,
    limit: float,
    form: typing.Callable[[float | None], str],
) -> str:
    if value is None:
        return f'* {what}: {NOT_MEASURED} (limit {form(limit)})'
    word = 'within' if value <= limit else 'OVER'
    return f'* {what}: {form(value)}, {word} the limit of {form(limit)}'


def _share(value: float | None) -> str:
    return NOT_MEASURED if value is None else f'{value:.2%}'


def _megabytes(value: float | None) -> str:
    return NOT_MEASURED if value is None else f'{value:.1f} MB'


def _kilobytes(value: float | None) -> str:
    return NOT_MEASURED if value is None else f'{value / 1000:.2f} KB'


def _number(value: float | None, unit: str) -> str:
    return NOT_MEASURED if value is None else f'{value:.1f} {unit}'
