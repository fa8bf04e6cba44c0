"""Clients that open a connection for each request, as a process of its own.

Arguments: host and port of the node, host and path of the route, API key,
prefix of the request ids, number of clients, and whether each keeps its
connection instead (``kept`` or ``new``). It ends with its standard input, and
prints how many answers of each status came.
"""

import asyncio
import json
import sys

import wire


async def _visit(arguments, number, counts):
    address, host, path, key, prefix, _, style = arguments
    client = wire.Client(address)
    count = 0
    while True:
        count += 1
        data = wire.encode_request(
            'GET', path, host, f'{prefix}{number}-{count}', key, 4.0
        )
        answer = await client.send(data, 5.0)
        if style == 'new':
            client.close()
        outcome = str(answer.status or answer.error)
        counts[outcome] = counts.get(outcome, 0) + 1
        if answer.status != 200:
            await asyncio.sleep(0.1)


async def _main():
    node, port, host, path, key, prefix, clients, style = sys.argv[1:]
    arguments = ((node, int(port)), host, path, key, prefix, clients, style)
    counts = {}
    tasks = [
        asyncio.ensure_future(_visit(arguments, number, counts))
        for number in range(int(clients))
    ]
    loop = asyncio.get_running_loop()
    await loop.run_in_executor(None, sys.stdin.read)
    for task in tasks:
        task.cancel()
    print(json.dumps(counts), flush=True)


asyncio.run(_main())
