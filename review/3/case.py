"""A usual client sends many commands at once on one connection."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
import standins  # noqa: E402

COMMANDS = 80  # "many commands at once"; the hundreds of a bad client are not reached
DEADLINE_MS = 3000
# An answer that comes half a second after its time only earns nothing; 50 ms are the slack of the
# rules on sockets, the rest is for this program.
GRACE = 0.5 + 0.05 + 0.5


async def slow_value(server, words, writer):
    await asyncio.sleep(0.3)
    writer.write(server.served(server.value_for(words)))


async def answers(world, reader, ids):
    """Reads the answers to these requests, in their order, until their time is over."""
    found = {}
    for id in ids:
        try:
            kind, text = await standins.read_answer(reader)
        except (OSError, asyncio.IncompleteReadError) as error:
            world.record.line(f"the limiter has closed the connection before {id}: {error}")
            break
        found[id] = kind
        world.record.line(f"answered {id}: {kind} {text[:40].decode(errors='replace')}")
    return found


async def one_connection(world, limiter, ids):
    """Sends the commands on one connection; returns the requests that got no answer."""
    reader, writer = await standins.connect(limiter.listen)
    writer.write(b"".join(command(id, number) for number, id in enumerate(ids)))
    await writer.drain()
    world.record.line(f"sent {len(ids)} commands on one connection: {ids[0]} to {ids[-1]}")
    try:
        limit = DEADLINE_MS / 1000 + GRACE
        found = await asyncio.wait_for(answers(world, reader, ids), limit)
    except asyncio.TimeoutError:
        raise standins.CannotRun("the answers are late: the machine is too busy") from None
    finally:
        writer.close()
    return [id for id in ids if id not in found]


def command(id, number):
    return standins.request(id, "terbit-tiket", account=number + 1, deadline_ms=DEADLINE_MS)


async def case(world):
    await world.start([standins.Server(f"s{index}", index, slow_value, world.record)
                       for index in range(8)])
    limiter = await world.limiter("n0", standins.settings(0, 2))
    if standins.trouble():
        groups = [[f"r{number}" for number in range(COMMANDS)]]
    else:
        # The same requests, a few on each connection.
        groups = [[f"r{number}" for number in range(start, start + 8)]
                  for start in range(0, COMMANDS, 8)]
    lost = await asyncio.gather(*(one_connection(world, limiter, group) for group in groups))
    return [f"{id} has no answer: the limiter ended its connection"
            for group in lost for id in group]


standins.run_case(FOLDER, case)
