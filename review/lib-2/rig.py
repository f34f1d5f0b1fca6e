"""Stand-ins and process handling that the cases of the second review share.

Everything runs on 127.0.0.1: clients, servers, service discovery and the quota counter live in this
process (asyncio), the limiters are started with the `run` command of deploy/balancer.toml.
"""

import asyncio
import json
import os
import re
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


def deploy_command(key):
    """Returns a command of the deploy file."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as file:
        found = re.search(r'^%s\s*=\s*"([^"]*)"' % key, file.read(), re.M)
    return found.group(1)


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Record:
    """Writes what was sent, answered and run to record.txt in the folder of the case."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def __call__(self, *words):
        line = "%8.3f %s" % (time.monotonic() - self.began, " ".join(str(word) for word in words))
        self.file.write(line + "\n")
        self.file.flush()


class Limiter:
    """One limiter process."""

    def __init__(self, rig, name, config, tmp, argument=None, one_core=False):
        self.rig, self.name = rig, name
        self.path = os.path.join(rig.folder, name + ".json")
        self.write(config)
        self.log_path = os.path.join(rig.folder, name + ".log")
        command = deploy_command("run")
        environment = {k: v for k, v in os.environ.items() if not k.startswith("EDGE_")}
        environment["TMPDIR"] = tmp
        if argument is None:
            environment["EDGE_CONFIG"] = self.path
        else:
            command += " " + argument
        # On the platform the processes of a limiter run on one core.
        core = {min(os.sched_getaffinity(0))} if one_core else os.sched_getaffinity(0)
        sockets = config["limits"]["sockets"]

        def bound():
            os.sched_setaffinity(0, core)
            _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
            resource.setrlimit(resource.RLIMIT_NOFILE, (sockets, hard))

        with open(self.log_path, "wb") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", command], cwd=ROOT, env=environment, preexec_fn=bound,
                stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        rig.limiters.append(self)
        rig.record("start", name, "pid", self.process.pid)

    def write(self, config):
        self.config = config
        with open(self.path, "w", encoding="utf-8") as file:
            json.dump(config, file)

    def signal(self, number):
        self.rig.record("signal", signal.Signals(number).name, "to", self.name)
        if self.process.poll() is None:
            self.process.send_signal(number)

    @property
    def alive(self):
        return self.process.poll() is None

    def log(self):
        with open(self.log_path, encoding="utf-8", errors="replace") as file:
            return file.read()


class Rig:
    """The world of one case."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="mossrill-review-")
        self.limiters = []
        self.closers = []

    def tmp(self, name):
        path = os.path.join(self.folder, "tmp-" + name)
        os.makedirs(path, exist_ok=True)
        return path

    def end(self):
        for limiter in self.limiters:
            if limiter.alive:
                limiter.process.kill()
            limiter.process.wait()
        for limiter in self.limiters:
            for line in limiter.log().splitlines():
                self.record("log", limiter.name, line)
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(file, case):
    """Runs `case(rig)`, which returns the verdict, and exits with it."""
    folder = os.path.dirname(os.path.abspath(file))
    rig = Rig(folder)
    verdict = COULD_NOT_RUN
    # The stand-ins of clients and servers need more descriptors than a limiter.
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(4096, hard) if hard > 0 else 4096, hard))
    rig.record("trouble", "on" if TROUBLE else "off")
    try:
        verdict = asyncio.run(asyncio.wait_for(case(rig), 110))
    except Exception as error:  # pylint: disable=broad-except
        rig.record("could not run:", repr(error))
        print("could not run:", repr(error), file=sys.stderr)
    finally:
        rig.end()
    text = {HELD: "the rule held", BROKEN: "the rule was broken", COULD_NOT_RUN: "could not run"}
    rig.record("verdict", verdict, text[verdict])
    print(text[verdict])
    sys.stdout.flush()
    os._exit(verdict)


# --- RESP ---------------------------------------------------------------------------------------

def command(*words):
    parts = [b"*%d\r\n" % len(words)]
    for word in words:
        word = word if isinstance(word, bytes) else str(word).encode()
        parts.append(b"$%d\r\n%s\r\n" % (len(word), word))
    return b"".join(parts)


async def read_command(reader):
    """Reads a command; returns None at the end of the connection."""
    line = await reader.readline()
    if not line:
        return None
    words = []
    for _ in range(int(line[1:])):
        length = int((await reader.readline())[1:])
        words.append((await reader.readexactly(length + 2))[:-2])
    return words


async def read_reply(reader):
    """Reads a reply as a client: returns ('value', bytes), ('error', text) or ('closed', what)."""
    try:
        line = await reader.readline()
        if not line.endswith(b"\r\n"):
            return ("closed", "before a whole line")
        if line[:1] == b"$":
            length = int(line[1:])
            if length < 0:
                return ("error", "null")
            return ("value", (await reader.readexactly(length + 2))[:-2])
        return ("error" if line[:1] == b"-" else "text", line[1:-2].decode())
    except asyncio.IncompleteReadError as error:
        return ("closed", "after %d bytes of a value" % len(error.partial))
    except ConnectionError as error:
        return ("closed", type(error).__name__)


def fields(words):
    return dict(pair.split("=", 1) for pair in words[3].decode().split(","))


class Server:
    """An upstream server. `behave(server, words, writer)` answers one command."""

    def __init__(self, rig, name, behave):
        self.rig, self.name, self.behave = rig, name, behave
        self.runs = []  # (time, id) of each command that arrived whole
        self.port = None

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 20)
        self.port = self.listener.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader, writer):
        try:
            while True:
                words = await read_command(reader)
                if words is None:
                    break
                name = words[0].decode()
                if name == "PING":
                    writer.write(b"+PONG\r\n")
                elif name == "INFO":
                    writer.write(bulk(b"queue=0,inflight=1,util=0.1"))
                elif not name.startswith("SVC."):
                    writer.write(b"+OK\r\n" if name in ("CLIENT", "SELECT") else b"-ERR\r\n")
                else:
                    identifier = words[2].decode()
                    self.runs.append((time.monotonic(), identifier))
                    self.rig.record("server", self.name, "got", name, identifier, words[3].decode())
                    await self.behave(self, words, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def entry(self, lifecycle="in_service", cell=0, started=0):
        return {"instanceId": self.name, "hostPort": "127.0.0.1:%d" % self.port, "zone": "z",
                "machineType": "m", "cell": cell, "lifecycle": lifecycle, "weight": 1.0,
                "startedAtMs": started}


def bulk(value):
    return b"$%d\r\n%s\r\n" % (len(value), value)


def served(value):
    return b"*3\r\n" + bulk(value) + b":1\r\n" + bulk(b"queue=0,inflight=1,util=0.1")


async def answer_at_once(server, words, writer):
    await asyncio.sleep(0.02)
    writer.write(served(b"%s by %s" % (words[2], server.name.encode())))


# --- Service discovery --------------------------------------------------------------------------

class Discovery:
    """Pushes the list: answers list calls, and keeps watches open with an empty line each 2 s."""

    def __init__(self, rig, entries):
        self.rig, self.generation = rig, 7
        self.entries = {entry["instanceId"]: entry for entry in entries}
        self.changes = []  # (generation, entries)
        self.watches = []

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.listener.sockets[0].getsockname()[1]
        self.address = "127.0.0.1:%d" % self.port
        return self

    def full(self):
        return {"generation": self.generation, "reset": True, "instances": list(self.entries.values())}

    def change(self, entry):
        self.generation += 1
        self.entries[entry["instanceId"]] = entry
        if entry["lifecycle"] == "terminated":
            del self.entries[entry["instanceId"]]
        delta = {"generation": self.generation, "reset": False, "instances": [entry]}
        self.changes.append((self.generation, delta))
        self.rig.record("discovery tells", json.dumps(delta))
        for writer in self.watches:
            writer.write(chunk(json.dumps(delta).encode() + b"\n"))

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ")[1].decode()
                if "watch=1" not in target:
                    body = json.dumps(self.full()).encode()
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                    await writer.drain()
                    continue
                since = int(target.split("from=")[1])
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                for generation, delta in self.changes:
                    if generation > since:
                        writer.write(chunk(json.dumps(delta).encode() + b"\n"))
                self.watches.append(writer)
                while True:
                    await asyncio.sleep(2)
                    writer.write(chunk(b"\n"))
                    await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            if writer in self.watches:
                self.watches.remove(writer)
            writer.close()


def chunk(text):
    return b"%x\r\n%s\r\n" % (len(text), text)


# --- Quota counter ------------------------------------------------------------------------------

class Counter:
    """Adds amounts to named numbers over HTTP."""

    def __init__(self, rig):
        self.rig, self.totals = rig, {}

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.listener.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ")[1].decode()
                name, query = target.split("/v1/count/")[1].split("?")
                values = dict(pair.split("=") for pair in query.split("&"))
                now = time.monotonic()
                total, ends = self.totals.get(name, (0.0, 0.0))
                if now >= ends:
                    total, ends = 0.0, now + int(values["ttl_ms"]) / 1000
                total += float(values["add"])
                self.totals[name] = (total, ends)
                body = (b"%.7g" % total)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


# --- Configuration and operators ----------------------------------------------------------------

def platform_config(discovery, counter, servers, listen, control=None, **changes):
    """A deployment like surabaya-tiket with one limiter."""
    def klass(name, semantics, slo, deadline, importance, group="all"):
        return {"name": name, "semantics": semantics, "slo": slo, "deadline": deadline,
                "importance": importance, "group": group, "memorySpan": 10000000, "lateWorth": 0.0,
                "stream": False}
    config = {
        "name": "n0", "listen": listen, "discovery": discovery.address, "counter": counter.address,
        "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"generation": 7, "reset": True, "instances": [server.entry() for server in servers]},
        "settings": {
            "me": 0, "balancers": 2, "tick": 2000, "az": "z", "zones": ["z"], "tier": 0,
            "tiers": ["api"], "family": "gate", "discovery": "push", "kinds": ["m"],
            "classes": [klass("cek", "read_like", 800000, 2500000, 3.0),
                        klass("tahan", "idempotency_key", 1200000, 5000000, 3.0, "cell"),
                        klass("terbit", "non_idempotent", 1200000, 3000000, 5.0)],
            "tariffs": [{"name": "utama", "refill": 1000.0, "peakUnits": 2000.0, "worthFactor": 1.6,
                         "parallel": 0, "excessCost": 1.0, "excessWorth": 0.0}],
            "clients": {"marksRetry": False},
            "limits": {"maxAttempts": 4, "mayCancel": True, "secondCopies": True, "retryAfter": True,
                       "maxRetryAfter": 1000000, "connIdle": 30000000, "connectTimeout": 250000,
                       "maxOpen": 20000, "mayProbe": True, "peers": False, "streamsPerConn": 100},
            "safety": {"answerSlack": 8000, "askEvery": 10000000, "coldShare": 0.18,
                       "drainGrace": 1000000, "fall": 3000000, "fallMultiple": 4.0,
                       "warmWithin": 13000000},
            "loadInfo": {"fields": ["queue", "inflight", "util"], "source": "pull"},
            "specifics": {"mayCount": True, "unitsTop": 6, "counterTimeout": 50000, "countFee": 0.01},
        },
    }
    if control:
        config["control"] = control
    config.update(changes)
    return config


async def operate(rig, address, call):
    """One call of an operator; returns the answer, or None if there is none within a second."""
    host, port = address.split(":")
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)
        writer.write(call.encode() + b"\n")
        answer = (await asyncio.wait_for(reader.read(), 1)).decode().strip()
        writer.close()
    except (OSError, asyncio.TimeoutError):
        return None
    if call != "ready" or answer.startswith("YES"):
        rig.record("operator", address, call, "->", answer.splitlines()[0] if answer else "nothing")
    return answer


async def wait_ready(rig, address, within=10):
    """Waits until the process says yes."""
    ends = time.monotonic() + within
    while time.monotonic() < ends:
        answer = await operate(rig, address, "ready")
        if answer and answer.startswith("YES"):
            return
        await asyncio.sleep(0.02)
    raise RuntimeError("not ready: " + address)


async def wait_pong(address, within=10):
    host, port = address.split(":")
    ends = time.monotonic() + within
    while time.monotonic() < ends:
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(command("PING"))
            reply = await asyncio.wait_for(read_reply(reader), 1)
            writer.close()
            if reply == ("text", "PONG"):
                return
        except (OSError, asyncio.TimeoutError):
            pass
        await asyncio.sleep(0.05)
    raise RuntimeError("no PONG from " + address)


def request(klass, identifier, deadline_ms, key=None, customer=1, body=b"body", units=1):
    text = "c=%s,t=utama,d=%d" % (klass, deadline_ms)
    if key:
        text += ",k=" + key
    text += ",units=%d,spread=1,first=0" % units
    name = "SVC.QUERY" if klass == "cek" else "SVC.SUBMIT"
    words = [name, "%016x" % customer, identifier, text]
    if name == "SVC.SUBMIT":
        words.append(body)
    return command(*words)


# --- A client with a plain socket ----------------------------------------------------------------

class PlainClient:
    """A client that reads what its system has received also after its sending has failed."""

    def __init__(self):
        self.received, self.sending_failed = b"", None

    async def open(self, address):
        host, port = address.split(":")
        self.loop = asyncio.get_running_loop()
        self.socket = socket.socket()
        self.socket.setblocking(False)
        await self.loop.sock_connect(self.socket, (host, int(port)))
        return self

    async def send(self, data):
        if self.sending_failed is None:
            try:
                await self.loop.sock_sendall(self.socket, data)
            except OSError as error:
                self.sending_failed = type(error).__name__

    async def receive(self, most=1 << 16):
        """Reads up to `most` bytes; returns None, or why the connection has ended."""
        try:
            data = await self.loop.sock_recv(self.socket, most)
        except OSError as error:
            return type(error).__name__
        self.received += data
        return None if data else "end of the stream"

    def take_reply(self):
        """Takes a whole reply of what was received; returns None if there is none."""
        line, separator, rest = self.received.partition(b"\r\n")
        if not separator:
            return None
        if line[:1] != b"$":
            self.received = rest
            return ("error" if line[:1] == b"-" else "text", line[1:].decode())
        length = int(line[1:])
        if len(rest) < length + 2:
            return None
        self.received = rest[length + 2:]
        return ("value", rest[:length])

    def close(self):
        self.socket.close()
