"""An operator takes a server out; an upgrade fails, as the new process dies; the next upgrade works."""

import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
from rig import *  # noqa: E402,F403


async def answer_soon(server, words, writer):
    await asyncio.sleep(0.06)
    writer.write(served(words[2]))


async def load(rig, prefix, address, results, stop):
    """A client that sends one safe request after another, and resends what crosses the end of its connection."""
    host, port = address.split(":")
    number, connection = 0, None
    while not stop.is_set():
        number += 1
        identifier = "%s%05d" % (prefix, number)
        for _ in range(5):
            try:
                if connection is None:
                    connection = await asyncio.open_connection(host, int(port))
                connection[1].write(request("cek", identifier, 2500))
                reply = await asyncio.wait_for(read_reply(connection[0]), 4)
            except (OSError, asyncio.TimeoutError) as error:
                reply = ("closed", repr(error))
            if reply[0] != "closed":
                break
            if connection:
                connection[1].close()
            connection = None
            await asyncio.sleep(0.02)
        results.append(reply)
        rig.record("client", identifier, reply)
        await asyncio.sleep(0.02)


async def case(rig):
    servers = [await Server(rig, "s-%d" % n, answer_soon).start() for n in range(3)]
    banned = servers[0]
    discovery = await Discovery(rig, [server.entry() for server in servers]).start()
    counter = await Counter(rig).start()
    listen = "127.0.0.1:%d" % free_port()
    controls = ["127.0.0.1:%d" % free_port() for _ in range(3)]
    tmp = rig.tmp("n0")

    def start(index):
        config = platform_config(discovery, counter, servers, listen, controls[index])
        return Limiter(rig, "process-%d" % index, config, tmp)

    old = start(0)
    await wait_ready(rig, controls[0])
    await wait_pong(listen)
    results, stop = [], asyncio.Event()
    clients = [asyncio.create_task(load(rig, name, listen, results, stop)) for name in "abcdefghijkl"]
    await asyncio.sleep(2)
    if not banned.runs:
        raise RuntimeError("the server got nothing before the ban")
    if await operate(rig, controls[0], "disable-server s-0") != "YES":
        raise RuntimeError("the ban was not taken")
    await asyncio.sleep(1.5)
    if TROUBLE:
        # A forced failure: the new process dies as soon as it has taken over.
        failed = start(1)
        await wait_ready(rig, controls[1], 6)
        failed.signal(signal.SIGKILL)
        failed.process.wait()
        await asyncio.sleep(2)
        if not old.alive:
            raise RuntimeError("the old process did not serve on")
    before = len(results)
    await asyncio.sleep(1)
    if len(results) == before or results[-1][0] != "value":
        raise RuntimeError("the old process does not serve")
    held_so_far = time.monotonic()
    # The next upgrade, as the page has it: SIGTERM to the old process at the yes of the new one.
    start(2)
    await wait_ready(rig, controls[2], 6)
    yes = time.monotonic()
    old.signal(signal.SIGTERM)
    for _ in range(40):
        await asyncio.sleep(0.1)
        if not old.alive:
            break
    if old.alive:
        old.signal(signal.SIGKILL)
    await asyncio.sleep(3)
    stop.set()
    await asyncio.gather(*clients)
    # The grace is 1 s and 50 ms; all of these come longer after the ban, which nobody called back.
    ban_ends = [at for at, _ in banned.runs if at > held_so_far]
    rig.record("commands at s-0 after the ban, from the second upgrade on:", len(ban_ends))
    rig.record("first of them, seconds after the yes:", "%.3f" % (ban_ends[0] - yes) if ban_ends else "-")
    return BROKEN if ban_ends else HELD


run_case(__file__, case)
