"""A planned restart while long values are being passed on."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
import standins  # noqa: E402

LONG_VALUE = 2 << 20  # "Some values are long, up to 4 MiB"
PIECES = 200  # a value comes in this many pieces, evenly over its time
TERM_AFTER = 0.7  # seconds from the first request to SIGTERM
# When the servers have written the last piece, in seconds from SIGTERM. No rest between two pieces
# is longer than 0.03 s.
ENDS = [1.5, 3.55, 4.5]
# SIGKILL comes no earlier than the longest deadline (counted as 3 s where it is longer) and 0.7 s
# after SIGTERM, which is 3.7 s with these settings. This platform gives more time.
KILL_AFTER = 8.0


async def long_value(server, words, writer):
    """Writes a value in pieces, at the times that its request's id names."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    seconds = float(words[2].split(b"-")[1])
    answer = server.served(words[2] * (LONG_VALUE // len(words[2])))
    size = len(answer) // PIECES + 1
    for index in range(PIECES):
        writer.write(answer[index * size:(index + 1) * size])
        await writer.drain()
        await asyncio.sleep(max(0, began + seconds * (index + 1) / PIECES - loop.time()))
    server.record.line(f"{server.id} has given the whole value of {words[2].decode()}")


async def client(world, limiter, number, seconds):
    """Sends one request and reads its value as it comes. Returns a break of the rule, if any."""
    id = f"long{number}-{seconds:.2f}"
    reader, writer = await standins.connect(limiter.listen)
    writer.write(standins.request(id, "terbit-tiket", account=number + 1, deadline_ms=3000))
    world.record.line(f"sent {id}")
    began = world.record.now()
    value, length = b"", 0
    try:
        line = await reader.readline()
        world.record.line(f"{id} begins after {world.record.now() - began:.3f} s: {line!r}")
        if not line.startswith(b"$"):
            raise standins.CannotRun(f"{id} was not served: {line!r}")
        length = int(line[1:]) + 2
        while len(value) < length:
            data = await reader.read(min(65536, length - len(value)))
            if not data:
                break
            value += data
    except OSError as error:
        world.record.line(f"{id}: {error}")
    finally:
        writer.close()
    took = world.record.now() - began
    world.record.line(f"{id} ends after {took:.3f} s with {len(value)} of {length} bytes")
    if length and len(value) == length:
        whole = value[:-2] == id.encode() * (LONG_VALUE // len(id))
        return None if whole else f"{id}: another value than its server gave"
    return f"{id}: the limiter cut its value off after {len(value)} of {length} bytes, while the " \
        "server gave it; the limiter had not been killed"


async def case(world):
    await world.start([standins.Server(f"s{index}", index, long_value, world.record)
                       for index in range(8)])
    limiter = await world.limiter("n0", standins.settings(0, 2))
    began = world.record.now()
    tasks = []
    for number, end in enumerate(ENDS):
        seconds = began + TERM_AFTER + end - world.record.now()
        tasks.append(asyncio.create_task(client(world, limiter, number, seconds)))
        await asyncio.sleep(0.05)
    await asyncio.sleep(began + TERM_AFTER - world.record.now())
    if standins.trouble():
        limiter.signal(signal.SIGTERM)
        world.record.line("SIGTERM")
    done, late = await asyncio.wait(tasks, timeout=KILL_AFTER)
    if late:
        raise standins.CannotRun("a value did not end before SIGKILL")
    return [task.result() for task in tasks if task.result()]


standins.run_case(FOLDER, case)
