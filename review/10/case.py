"""A server stands still in the middle of a long value, and then gives the rest."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
from rig import *  # noqa: E402,F403

HANG = 7.0 if TROUBLE else 0.2
VALUE = os.urandom(1 << 19)
FIRST = 200_000


async def case(rig):
    given = {}

    async def behave(server, words, writer):
        if words[0] != b"SVC.QUERY" or not words[2].startswith(b"long"):
            return await answer_at_once(server, words, writer)
        answer = served(VALUE)
        writer.write(answer[:FIRST])
        await writer.drain()
        rig.record("server", server.name, "gave", FIRST, "bytes of", len(answer), "and stands still")
        await asyncio.sleep(HANG)
        try:
            writer.write(answer[FIRST:])
            await writer.drain()
            await asyncio.sleep(0.3)
            given[words[2]] = not writer.transport.is_closing()
        except ConnectionError:
            given[words[2]] = False
        rig.record("server", server.name, "gave the rest;", "connection stands" if given[words[2]] else "the limiter had closed the connection")

    servers = [await Server(rig, "s-%d" % n, behave).start() for n in range(8)]
    discovery = await Discovery(rig, [server.entry() for server in servers]).start()
    counter = await Counter(rig).start()
    listen = "127.0.0.1:%d" % free_port()
    Limiter(rig, "n0", platform_config(discovery, counter, servers, listen), rig.tmp("n0"))
    await wait_pong(listen)
    host, port = listen.split(":")

    async def ask(identifier):
        reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 20)
        sent = time.monotonic()
        writer.write(request("cek", identifier, 2500))
        reply = await asyncio.wait_for(read_reply(reader), 40)
        shown = reply if reply[0] != "value" else ("value of %d bytes" % len(reply[1]), reply[1] == VALUE)
        rig.record("client", identifier, "after %.2f s:" % (time.monotonic() - sent), *shown)
        writer.close()
        return reply

    if (await ask("short"))[0] != "value":
        raise RuntimeError("a short request is not served")
    reply = await ask("long")
    await asyncio.sleep(max(0.0, HANG - 4.0))
    whole = reply == ("value", VALUE)
    return HELD if whole else BROKEN


run_case(__file__, case)
