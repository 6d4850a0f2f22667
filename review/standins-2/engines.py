"""Stand-ins for engines in a process of their own, for many requests.

Takes one JSON object: ``network`` and ``engines``, pairs of a number and a
stage. They never change their stage. Ends when its standard input does.
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


async def main():
    order = json.loads(sys.argv[1])
    host = Host(order['network'])
    servers = []
    for number, stage in order['engines']:
        server = fleet.Server(host, number, 'llm', stage)
        server.answer = fleet.answer_stream
        server.events, server.gap_s = 1, 0.0
        await server.start()
        servers.append(server)
    print('ready', flush=True)
    await asyncio.to_thread(sys.stdin.read)
    print(sum(len(server.run_ids) for server in servers))


asyncio.run(main())
