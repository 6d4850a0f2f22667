"""Streams are broken off when an engine's weights change their version."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(
    0, str(pathlib.Path(__file__).resolve().parent.parent / 'standins-2')
)

import fleet

STREAMS = 12
EVENTS = 30
GAP_S = 0.1
TERM_AFTER_S = 0.5
CHANGE_AFTER_S = 1.5
OLD_VERSION, NEW_VERSION = 1, 2


class Weights:
    """The version of the weights that all engines hold."""

    def __init__(self):
        self.version = OLD_VERSION


async def run(record):
    async with fleet.Fleet(record, controls=3, entries=2) as deployment:
        return await play(record, deployment)


async def play(record, deployment):
    weights = Weights()
    for stage in ('prefill', 'decode', 'decode', 'decode'):
        server = await deployment.add_server('llm', stage, answer_stream)
        server.weights = weights
    await deployment.start_all(
        fleet.make_config(
            7, [fleet.make_route('tender', '/gen/', 'streaming', 'llm')]
        )
    )
    stopping, _other = deployment.entries
    streams = [
        asyncio.create_task(ask(record, stopping)) for _ in range(STREAMS)
    ]
    await asyncio.sleep(TERM_AFTER_S)
    deployment.signal(stopping, signal.SIGTERM)
    await asyncio.sleep(CHANGE_AFTER_S - TERM_AFTER_S)
    if fleet.has_trouble():
        weights.version = NEW_VERSION
        record.add('weights', f'the engines change to {NEW_VERSION}')
    answers = await asyncio.gather(*streams)
    run_ids = {i for server in deployment.servers for i in server.run_ids}
    done_ids = {i for server in deployment.servers for i in server.done_ids}
    record.add('run', f'{len(run_ids)} begun, {len(done_ids)} to their end')
    return [
        f'LOST: {call_id} had run, its channel ended without the whole '
        f'answer ({answer.error}) after the SIGTERM of its machine'
        for call_id, answer in answers
        if call_id in run_ids and not answer.is_complete
    ]


async def ask(record, ip):
    """Sends a request; returns its id and the answer."""
    call_id = fleet.new_id()
    record.add('sent', f'{call_id} to {ip}')
    answer = await fleet.call(
        ip,
        fleet.FRONT_PORT,
        'POST',
        '/gen/x',
        fleet.stream_headers(call_id),
        b'a chapter',
        14,
    )
    events = answer.body.count(b'id: ')
    record.add(
        'answered',
        f'{call_id}: {answer.status}, {events} of {EVENTS} events, '
        f'complete: {answer.is_complete} {answer.error}',
    )
    return call_id, answer


async def answer_stream(server, request, headers, reader, writer):
    """Writes a stream; an event at which the version changes names it."""
    call_id = request.header('x-masticquay-request-id')
    version = server.weights.version
    await fleet.begin_stream(writer, headers)
    for number in range(1, EVENTS + 1):
        event = b'id: %d\ndata: piece %d\n\n' % (number, number)
        if server.weights.version != version:
            version = server.weights.version
            event = b'x-masticquay-weight-versions:%d\n' % version + event
        fleet.write_chunk(writer, event)
        await writer.drain()
        await asyncio.sleep(GAP_S)
    writer.write(b'0\r\n\r\n')
    await writer.drain()
    server.done_ids.append(call_id)
    return True


fleet.run_case(__file__, run)
