"""Bad clients send many commands at once; the platform watches the limiter's memory."""

import asyncio
import os
import signal
import subprocess
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
import standins  # noqa: E402

MEMORY_MB = 192  # the highest limit on scored days
SOCKETS = 1024
USUAL_CLIENTS = 20
BAD_CLIENTS = 240  # in four processes; "others connect by the hundred"
COMMANDS_AT_ONCE = 200  # "hundreds of commands at once"
BAD_PROCESSES = 4
SECONDS = 12


async def usual_client(world, limiter, number, counts, ends):
    """One request after another, each on the same connection."""
    loop = asyncio.get_running_loop()
    sequence = 0
    while loop.time() < ends:
        try:
            reader, writer = await standins.connect(limiter.listen)
            while loop.time() < ends:
                sequence += 1
                id = f"u{number}-{sequence}"
                writer.write(standins.request(id, account=number + 1))
                kind, _ = await asyncio.wait_for(standins.read_answer(reader), 6)
                counts[kind] = counts.get(kind, 0) + 1
                await asyncio.sleep(0.2)
            writer.close()
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            counts["no answer"] = counts.get("no answer", 0) + 1
            await asyncio.sleep(0.2)


def start_bad_clients(limiter):
    """Starts the bad clients in a few processes, so that they are not slower than the limiter."""
    address = limiter.listen
    share = BAD_CLIENTS // BAD_PROCESSES
    return [
        subprocess.Popen([sys.executable, "-B", os.path.join(FOLDER, "bad_clients.py"), address,
                          str(index * share), str(share), str(COMMANDS_AT_ONCE), str(SECONDS)])
        for index in range(BAD_PROCESSES)]


async def platform(world, limiter, peak, breaks):
    """Kills the limiter once it uses more memory than its limit."""
    while True:
        used = limiter.status("RssAnon") if limiter.process.poll() is None else 0
        if used > peak[0]:
            peak[0] = used
        if limiter.process.poll() is not None:
            breaks.append(f"the limiter ended by itself: {limiter.process.returncode}")
            return
        if used > MEMORY_MB << 20:
            limiter.signal(signal.SIGKILL)
            breaks.append(f"the limiter was killed: {used >> 20} MB of anonymous memory in use, "
                          f"the limit is {MEMORY_MB} MB")
            world.record.line(breaks[-1])
            return
        await asyncio.sleep(0.02)


async def case(world):
    await world.start([standins.Server(f"s{index}", cell=index) for index in range(8)])
    limiter = await world.limiter("n0", standins.settings(0, 2), memory_mb=MEMORY_MB,
                                  sockets=SOCKETS)
    loop = asyncio.get_running_loop()
    ends = loop.time() + SECONDS
    usual, bad, peak, breaks = {}, [], [0], []
    clients = [asyncio.create_task(usual_client(world, limiter, number, usual, ends))
               for number in range(USUAL_CLIENTS)]
    watch = asyncio.create_task(platform(world, limiter, peak, breaks))
    await asyncio.sleep(2)
    world.record.line(f"usual clients so far: {usual}, peak {peak[0] >> 20} MB")
    if standins.trouble():
        world.record.line(f"{BAD_CLIENTS} bad clients begin")
        bad = start_bad_clients(limiter)
    try:
        await asyncio.wait([watch], timeout=SECONDS - 2)
    finally:
        for process in bad:
            process.kill()
            process.wait()
    for client in clients:
        client.cancel()
    world.record.line(f"usual clients: {usual}")
    world.record.line(f"ran at servers: {sum(server.attempts for server in world.servers)}")
    world.record.line(f"peak of the limiter's anonymous memory: {peak[0] >> 20} MB")
    print(f"peak {peak[0] >> 20} MB, limit {MEMORY_MB} MB")
    return breaks


standins.run_case(FOLDER, case)
