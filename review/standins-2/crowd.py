"""A crowd of clients in a process of its own; used by scripts of cases.

Takes one JSON object: ``ip``, ``port``, ``connections``, ``until_s`` (how
long), ``target``, ``headers`` (pairs; ``{id}`` and ``{part}`` stand for a new
id of the lengths ``id_chars`` and ``part_chars``), ``body`` and
``refused_pause_s`` (the pause after another status than 200). Each client sends
one request after the other on a kept channel. Prints how often each status
came.
"""

import asyncio
import collections
import json
import sys
import time

import fleet


def long_id(chars):
    """Returns a new hexadecimal id."""
    start = fleet.new_id()
    return (start * (chars // len(start) + 1))[:chars]


def make_request(order):
    headers = [('Host', fleet.HOST)]
    for name, value in order['headers']:
        if '{id}' in value:
            value = value.replace('{id}', long_id(order['id_chars']))
        if '{part}' in value:
            value = value.replace('{part}', long_id(order['part_chars']))
        headers.append((name, value))
    return fleet.encode(
        f'POST {order["target"]} HTTP/1.1', headers, order['body'].encode()
    )


async def run_client(order, end_s, counts):
    reader = writer = None
    while time.monotonic() < end_s:
        try:
            if writer is None:
                reader, writer = await asyncio.open_connection(
                    order['ip'], order['port']
                )
            writer.write(make_request(order))
            await writer.drain()
            answer = fleet.Answer()
            async with asyncio.timeout(16):
                await fleet.read_answer(reader, answer)
            counts[str(answer.status)] += 1
            if answer.header('connection').lower() == 'close':
                writer.close()
                writer = None
            if answer.status != 200:
                await asyncio.sleep(order['refused_pause_s'])
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as cause:
            counts[type(cause).__name__] += 1
            if writer is not None:
                writer.close()
            writer = None
            await asyncio.sleep(0.1)


async def main():
    order = json.loads(sys.argv[1])
    counts = collections.Counter()
    end_s = time.monotonic() + order['until_s']
    await asyncio.gather(
        *(
            run_client(order, end_s, counts)
            for _ in range(order['connections'])
        )
    )
    print(json.dumps(counts))


asyncio.run(main())
