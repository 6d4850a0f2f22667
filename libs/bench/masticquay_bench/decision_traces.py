"""Seeded traces of requests for the bench of scheduling decisions."""

import random as random_module

from masticquay_bundles import models
from masticquay_scheduling import prefixes

PREFILL_US_PER_TOKEN = 150
DECODE_MS_PER_TOKEN = 25
KV_BYTES_PER_TOKEN = 60_000
PREFIX_TOKENS = 512
BETWEEN_TOKENS_TARGET_MS = 40

CLASS_STATUS = 'status'
CLASS_DRAFT = 'draft'
CLASS_BATCH = 'batch'


class Request:
    """One request of a trace.

    :param output_tokens: how long its answer will be; unknown to schedulers
    """

    __slots__ = (
        'number',
        'arrival_ms',
        'workspace',
        'class_name',
        'prefix_hashes',
        'prompt_tokens',
        'output_tokens',
        'max_output_tokens',
        'host',
    )

    def __init__(
        self,
        number: int,
        arrival_ms: int,
        workspace: str,
        class_name: str,
        prefix_hashes: list[int],
        prompt_tokens: int,
        output_tokens: int,
        max_output_tokens: int,
        host: str,
    ):
        self.number = number
        self.arrival_ms = arrival_ms
        self.workspace = workspace
        self.class_name = class_name
        self.prefix_hashes = prefix_hashes
        self.prompt_tokens = prompt_tokens
        self.output_tokens = output_tokens
        self.max_output_tokens = max_output_tokens
        self.host = host


class ClassMix:
    """How requests of one class look.

    :param share: its part of all requests
    :param prompt_tokens: median length of the prompts
    :param output_tokens: median length of the answers
    """

    __slots__ = ('name', 'share', 'prompt_tokens', 'output_tokens', 'limit')

    def __init__(
        self,
        name: str,
        share: float,
        prompt_tokens: int,
        output_tokens: int,
        limit: int,
    ):
        self.name = name
        self.share = share
        self.prompt_tokens = prompt_tokens
        self.output_tokens = output_tokens
        self.limit = limit


class Deployment:
    """The shape of one deployment: endpoints, workspaces, classes."""

    __slots__ = ('name', 'places', 'mixes', 'shares', 'first_target_ms')

    def __init__(
        self,
        name: str,
        places: list[str],
        mixes: list[ClassMix],
        shares: list[int],
        first_target_ms: int,
    ):
        self.name = name
        self.places = places
        self.mixes = mixes
        self.shares = shares
        self.first_target_ms = first_target_ms

    def make_bundle(self) -> models.Bundle:
        """Returns a bundle with three prefill and three decode engines."""
        endpoints = []
        for number, place in enumerate(self.places):
            for role in (models.ROLE_PREFILL, models.ROLE_DECODE):
                endpoints.append(_make_engine(f'{role}{number}', place, role))
        workspaces = [
            models.Workspace(f'w{number}', 1_000 * share, 5_000 * share, share)
            for number, share in enumerate(self.shares)
        ]
        return models.Bundle(
            version=1,
            approvals_required=1,
            approvers=[],
            places=[models.Place(place, 'region') for place in self.places],
            workspaces=workspaces,
            keys=[],
            classes=self._make_classes(),
            models=[
                models.Model('m', 'v', kv_bytes_per_token=KV_BYTES_PER_TOKEN)
            ],
            services=[],
            routes=[],
            endpoints=endpoints,
        )

    def _make_classes(self) -> list[models.ServiceClass]:
        target_ms = BETWEEN_TOKENS_TARGET_MS
        return [
            models.ServiceClass(
                CLASS_STATUS, models.CLASS_PROMPT, 500, target_ms, 5_000, 500
            ),
            models.ServiceClass(
                CLASS_DRAFT,
                models.CLASS_STANDARD,
                self.first_target_ms,
                target_ms,
                60_000,
                self.first_target_ms,
            ),
            models.ServiceClass(
                CLASS_BATCH,
                models.CLASS_DEFERRED,
                30_000,
                4 * target_ms,
                120_000,
                30_000,
            ),
        ]

    def capacity_per_s(self) -> float:
        """Returns the requests a second at which an engine stage is full."""
        prefill_ms = decode_ms = 0.0
        for mix in self.mixes:
            uncached = max(0, mix.prompt_tokens * 1.13 - PREFIX_TOKENS * 0.9)
            prefill_ms += mix.share * uncached * PREFILL_US_PER_TOKEN / 1_000
            output = mix.output_tokens * 1.13
            decode_ms += mix.share * output * DECODE_MS_PER_TOKEN
        engines = len(self.places)
        return min(
            engines * 1_000 / prefill_ms, engines * SLOTS * 1_000 / decode_ms
        )


SLOTS = 20

KALAMU_PAMOJA = Deployment(
    'kalamu-pamoja',
    ['nairobi', 'kisumu', 'mombasa'],
    [
        ClassMix(CLASS_STATUS, 0.05, 150, 12, 32),
        ClassMix(CLASS_DRAFT, 0.75, 1_500, 150, 512),
        ClassMix(CLASS_BATCH, 0.20, 2_500, 200, 512),
    ],
    [4, 3, 2, 1, 1],
    2_000,
)

BATANGAS = Deployment(
    'batangas',
    ['batangas-main', 'lipa-annex', 'calamba-office'],
    [
        ClassMix(CLASS_STATUS, 0.30, 150, 12, 32),
        ClassMix(CLASS_DRAFT, 0.45, 2_000, 180, 512),
        ClassMix(CLASS_BATCH, 0.25, 2_500, 220, 512),
    ],
    [4, 3, 2, 1, 1],
    2_500,
)

SHARD = Deployment(
    'shard',
    [f'place{number}' for number in range(6)],
    [
        ClassMix(CLASS_STATUS, 0.20, 150, 12, 32),
        ClassMix(CLASS_DRAFT, 0.60, 800, 60, 128),
        ClassMix(CLASS_BATCH, 0.20, 1_200, 80, 256),
    ],
    [4, 3, 2, 1, 1],
    2_000,
)


def _make_engine(name: str, place: str, role: str) -> models.Endpoint:
    return models.Endpoint(
        name,
        models.KIND_ENGINE,
        '127.0.0.1:1',
        place,
        SLOTS,
        roles=[role],
        model='m',
        link_bytes_per_s=1_000_000_000,
    )


def make_trace(
    deployment: Deployment,
    duration_ms: int,
    load: float,
    seed: int,
    surges: dict[str, float] | None = None,
    hosts: int = 8,
) -> list[Request]:
    """Draws Poisson arrivals for each workspace.

    :param load: of the capacity, shared out by weight
    :param surges: factors by which workspaces exceed their part
    """
    requests = []
    total = sum(deployment.shares)
    rate = deployment.capacity_per_s() * load / 1_000
    for number, share in enumerate(deployment.shares):
        workspace = f'w{number}'
        random = random_module.Random(f'{seed}/{deployment.name}/{workspace}')
        factor = (surges or {}).get(workspace, 1.0)
        interval_ms = total / (rate * share * factor)
        now_ms = random.expovariate(1 / interval_ms)
        while now_ms < duration_ms:
            requests.append(
                _draw(deployment, workspace, int(now_ms), random, hosts)
            )
            now_ms += random.expovariate(1 / interval_ms)
    requests.sort(key=lambda request: request.arrival_ms)
    for number, request in enumerate(requests):
        request.number = number
    return requests


def _draw(
    deployment: Deployment,
    workspace: str,
    arrival_ms: int,
    random: random_module.Random,
    hosts: int,
) -> Request:
    weights = [mix.share for mix in deployment.mixes]
    mix = random.choices(deployment.mixes, weights)[0]
    prompt = int(mix.prompt_tokens * random.lognormvariate(0, 0.5))
    prompt = min(12_000, max(16, prompt))
    output = int(mix.output_tokens * random.lognormvariate(0, 0.5))
    output = min(mix.limit, max(1, output))
    return Request(
        0,
        arrival_ms,
        workspace,
        mix.name,
        _draw_hashes(workspace, prompt, random),
        prompt,
        output,
        mix.limit,
        f'h{random.randrange(hosts)}',
    )


def _draw_hashes(
    workspace: str, prompt_tokens: int, random: random_module.Random
) -> list[int]:
    """Makes a prompt that begins with one of its workspace's prefixes."""
    blocks = prompt_tokens // prefixes.BLOCK_TOKENS
    common = min(blocks, PREFIX_TOKENS // prefixes.BLOCK_TOKENS)
    group = random.randrange(6)
    shared = [
        hash((workspace_number(workspace), group, i)) for i in range(common)
    ]
    return shared + [random.getrandbits(62) for _ in range(blocks - common)]


def workspace_number(workspace: str) -> int:
    """Returns the number in a workspace's name."""
    return int(workspace[1:])
