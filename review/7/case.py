"""A planned restart while a client reads a long value in pieces and sends its next requests."""

import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
from rig import *  # noqa: E402,F403

VALUE = os.urandom(1 << 20)
PIECE, PAUSE = 1 << 16, 0.15  # the client takes 2.4 s for the value


async def case(rig):
    async def behave(server, words, writer):
        if words[2] != b"long":
            return await answer_at_once(server, words, writer)
        writer.write(served(VALUE))
        await writer.drain()
        rig.record("server", server.name, "gave the whole value of", len(VALUE), "bytes")

    servers = [await Server(rig, "s-%d" % n, behave).start() for n in range(4)]
    discovery = await Discovery(rig, [server.entry() for server in servers]).start()
    counter = await Counter(rig).start()
    listen = "127.0.0.1:%d" % free_port()
    limiter = Limiter(rig, "n0", platform_config(discovery, counter, servers, listen), rig.tmp("n0"))
    await wait_pong(listen)

    client = await PlainClient().open(listen)
    sent, replies = [], []

    async def send(identifier):
        sent.append(identifier)
        rig.record("client sends", identifier)
        await client.send(request("cek", identifier, 2500))

    await send("short")
    while not replies:
        if await client.receive():
            raise RuntimeError("a short request is not served")
        reply = client.take_reply()
        if reply:
            replies.append(reply)
    if replies[0][0] != "value":
        raise RuntimeError("a short request is not served")
    await send("long")
    began = time.monotonic()
    ended, term, number = None, None, 0
    while ended is None and time.monotonic() - began < 8:
        ended = await client.receive(PIECE)
        reply = client.take_reply()
        while reply:
            replies.append(reply)
            shown = ("value of %d bytes" % len(reply[1])) if reply[0] == "value" else reply
            rig.record("client got the answer to", sent[len(replies) - 1] + ":", shown)
            reply = client.take_reply()
        if len(replies) == len(sent) and len(replies) > 1:
            break  # all is answered
        if len(replies) < 2:
            await asyncio.sleep(PAUSE)
        if TROUBLE and term is None and time.monotonic() - began > 0.3:
            limiter.signal(signal.SIGTERM)
            term = time.monotonic()
        # Clients send on every connection that stays open.
        if time.monotonic() - began > 1 + 0.3 * number and number < 3:
            number += 1
            await send("next-%d" % number)
    rig.record("connection:", ended or "open", "; sending:", client.sending_failed or "well",
               "; bytes of the answer in hand:", len(client.received))
    client.close()
    if term is not None:
        while limiter.alive and time.monotonic() < term + 3.7:
            await asyncio.sleep(0.05)
        rig.record("limiter", "still runs at the time of SIGKILL" if limiter.alive else "has ended by itself")
    whole = len(replies) > 1 and replies[1] == ("value", VALUE)
    rig.record("answer to 'long':", "whole" if whole else "NOT whole: cut by the limiter's end of the connection")
    return HELD if whole else BROKEN


run_case(__file__, case)
