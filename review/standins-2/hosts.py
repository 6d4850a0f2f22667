"""Stand-ins for servers in a process of their own, for many requests.

Takes one JSON object: ``network``, ``servers`` (each a number, a service and a
stage or null) and ``answer_bytes`` (the size of a plain server's answer), ``events``
(of a stream) and ``gap_s`` (between them, or the work of a plain server). They never change their stage. Ends when its
standard input does.
"""

import asyncio
import json
import sys

import fleet


class NoRecord:
    """Records nothing."""

    def add(self, kind, text):
        pass


class Host:
    """What a server knows of the deployment."""

    def __init__(self, network):
        self.network = network
        self.record = NoRecord()


async def answer_bytes(server, request, headers, reader, writer):
    await asyncio.sleep(server.gap_s)
    await server.send(writer, 200, headers, bytes(server.answer_bytes))
    return True


async def main():
    order = json.loads(sys.argv[1])
    host = Host(order['network'])
    servers = []
    for number, service, stage in order['servers']:
        server = fleet.Server(host, number, service, stage)
        server.answer = fleet.answer_stream if stage else answer_bytes
        server.answer_bytes = order['answer_bytes']
        server.events = order['events']
        server.gap_s = order['gap_s']
        await server.start()
        servers.append(server)
    print('ready', flush=True)
    await asyncio.to_thread(sys.stdin.read)
    print(sum(len(server.run_ids) for server in servers))


asyncio.run(main())
