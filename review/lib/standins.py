"""Stand-ins for the platform: service discovery, quota counter, upstream servers and clients.

They speak the protocol pages over loopback sockets. Only Python's standard library is used.
"""

import asyncio
import json
import os
import resource
import shutil
import signal
import subprocess
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


def deploy_command():
    """Returns the command that starts a limiter: the key `run` of the deploy file."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as file:
        for line in file:
            key, _, value = line.partition("=")
            if key.strip() == "run":
                return json.loads(value.strip())
    raise CannotRun("the deploy file has no command to run")


def raise_descriptor_limit():
    """Raises the soft limit of this process's descriptors to the hard limit."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


class Record:
    """The record of one run: a line for each event, with the seconds since its start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def line(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")

    def close(self):
        self.file.close()


def settings(me=0, balancers=2, **changes):
    """Returns the settings of a small deployment, with the figures of the page's example."""
    value = {
        "az": "sby-rungan-1", "balancers": balancers, "me": me,
        "classes": [
            {"name": "cek-kursi", "semantics": "read_like", "group": "all", "slo": 800000,
             "deadline": 2500000, "importance": 3.0, "lateWorth": 0.0, "memorySpan": 5000000,
             "stream": False},
            {"name": "tahan-kursi", "semantics": "idempotency_key", "group": "cell",
             "slo": 1200000, "deadline": 5000000, "importance": 3.0, "lateWorth": 0.0,
             "memorySpan": 10000000, "stream": False},
            {"name": "terbit-tiket", "semantics": "non_idempotent", "group": "all",
             "slo": 1200000, "deadline": 3000000, "importance": 5.0, "lateWorth": 0.0,
             "memorySpan": 5000000, "stream": False}],
        "clients": {"marksRetry": False}, "discovery": "push", "family": "gate",
        "goal": {"whole": 0.55, "worstClass": 0.0, "worstTenant": 0.25, "worstWindow": 0.2},
        "kinds": ["cepat", "biasa"],
        "limits": {"connIdle": 30000000, "connectTimeout": 250000, "cpuUsPerRequest": 0.0,
                   "cpuUsPerS": 500000, "maxAttempts": 4, "maxOpen": 20000,
                   "maxRetryAfter": 1000000, "mayCancel": True, "mayProbe": True,
                   "peers": False, "retryAfter": True, "secondCopies": True,
                   "streamsPerConn": 100},
        "loadInfo": {"fields": ["queue", "inflight", "util"], "source": "pull"},
        "prices": {"connection": 0.0, "crossZone": 0.0, "discovery": 0.0, "handshake": 0.0,
                   "lateFail": 0.11, "moves": 0.0, "origin": 0.0, "peer": 0.0, "probe": 0.01,
                   "waste": 0.05},
        "safety": {"answerSlack": 8000, "askEvery": 10000000, "coldShare": 0.18,
                   "drainGrace": 1000000, "fall": 3000000, "fallMultiple": 4.0,
                   "warmWithin": 13000000},
        "specifics": {"countFee": 0.01, "counterTimeout": 50000, "mayCount": True, "meter": 0,
                      "peerIntake": 0.0, "settles": False, "unitsTop": 6},
        "tariffs": [
            {"name": "dasar", "refill": 2.0, "peakUnits": 12.0, "parallel": 0, "hardRate": 0.0,
             "ceilingBurst": 0.0, "capSlack": 0.0, "excessCost": 1.0, "excessWorth": 0.0,
             "worthFactor": 0.88},
            {"name": "utama", "refill": 17.0, "peakUnits": 32.0, "parallel": 0, "hardRate": 0.0,
             "ceilingBurst": 0.0, "capSlack": 0.0, "excessCost": 1.0, "excessWorth": 0.0,
             "worthFactor": 1.6}],
        "tick": 2000, "tier": 0, "tiers": ["tiket-api"], "weightSource": "nominal",
        "zones": ["sby-rungan-1"],
    }
    value.update(changes)
    return value


# Parsing of RESP2, as far as the protocol page uses it.


async def read_command(reader):
    """Reads a command as a list of words; returns None at the end of the connection."""
    line = await reader.readline()
    if not line:
        return None
    words = []
    for _ in range(int(line[1:])):
        length = int((await reader.readline())[1:])
        words.append((await reader.readexactly(length + 2))[:-2])
    return words


def bulk(data):
    data = data if isinstance(data, bytes) else data.encode()
    return b"$%d\r\n%s\r\n" % (len(data), data)


def command(*words):
    return b"*%d\r\n" % len(words) + b"".join(bulk(word) for word in words)


async def read_answer(reader):
    """Reads an answer; returns its kind and its content."""
    line = await reader.readline()
    if not line.endswith(b"\r\n"):
        raise ConnectionError("the connection ended before the whole answer")
    kind, text = line[:1], line[1:-2]
    if kind == b"$" and int(text) >= 0:
        return "served", (await reader.readexactly(int(text) + 2))[:-2]
    if kind == b"-" and text.split(b" ")[0] == b"BUSY":
        return "refused", text
    if kind == b"+":
        return "simple", text
    return "failed", text


class Discovery:
    """Pushes the list of upstream servers to each limiter."""

    def __init__(self):
        self.generation = 1
        self.entries = {}
        self.watchers = set()

    async def start(self, host="127.0.0.1"):
        self.server = await asyncio.start_server(self.serve, host, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    def put(self, server, lifecycle="in_service", started_at_ms=0):
        self.generation += 1
        entry = {"instanceId": server.id, "hostPort": server.address, "zone": "sby-rungan-1",
                 "machineType": "cepat", "cell": server.cell, "lifecycle": lifecycle,
                 "weight": 1.0, "startedAtMs": started_at_ms}
        if lifecycle == "terminated":
            self.entries.pop(server.id, None)
        else:
            self.entries[server.id] = entry
        text = json.dumps({"generation": self.generation, "reset": False, "instances": [entry]})
        for writer in list(self.watchers):
            self.chunk(writer, text + "\n")

    def whole(self):
        return {"generation": self.generation, "reset": True,
                "instances": list(self.entries.values())}

    @staticmethod
    def chunk(writer, text):
        data = text.encode()
        writer.write(b"%x\r\n%s\r\n" % (len(data), data))

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ")[1].decode()
                if "watch=1" not in target:
                    body = json.dumps(self.whole()).encode()
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s"
                                 % (len(body), body))
                    continue
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                self.chunk(writer, json.dumps(self.whole()) + "\n")
                self.watchers.add(writer)
                while True:
                    await asyncio.sleep(2)
                    self.chunk(writer, "\n")
                    await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.watchers.discard(writer)
            writer.close()


class Counter:
    """The quota counter."""

    def __init__(self):
        self.totals = {}

    async def start(self, host="127.0.0.1"):
        self.server = await asyncio.start_server(self.serve, host, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ")[1].decode()
                name, query = target.split("/")[-1].split("?")
                pairs = dict(pair.split("=") for pair in query.split("&"))
                now = time.monotonic()
                total, ends = self.totals.get(name, (0.0, 0.0))
                if now >= ends:
                    total, ends = 0.0, now + min(float(pairs["ttl_ms"]), 60000) / 1000
                total += float(pairs["add"])
                self.totals[name] = (total, ends)
                body = ("%.7g" % total).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s"
                             % (len(body), body))
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Server:
    """An upstream server. `work` is a coroutine that gets the server, a command's words and the
    connection's writer, and writes the answer."""

    def __init__(self, id, cell=0, work=None, record=None, stream_limit=1 << 20):
        self.id, self.cell, self.record = id, cell, record
        self.work = work or self.answer_value
        self.ran = []
        self.attempts = 0
        self.stream_limit = stream_limit

    async def start(self, host="127.0.0.1"):
        self.server = await asyncio.start_server(self.serve, host, 0, limit=self.stream_limit,
                                                 backlog=1024)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    @staticmethod
    def served(value):
        return b"*3\r\n" + bulk(value) + b"$-1\r\n$-1\r\n"

    def value_for(self, words):
        return b"value of " + words[2]

    async def answer_value(self, server, words, writer):
        await asyncio.sleep(0.02)
        writer.write(self.served(self.value_for(words)))

    async def serve(self, reader, writer):
        try:
            while True:
                words = await read_command(reader)
                if words is None:
                    break
                name = words[0].upper()
                if name == b"INFO":
                    writer.write(bulk(b"queue=0,inflight=0,util=0.1"))
                elif name == b"PING":
                    writer.write(b"+PONG\r\n")
                elif name in (b"SVC.QUERY", b"SVC.SUBMIT"):
                    self.attempts += 1
                    self.ran.append(words[2])
                    if self.record:
                        self.record.line(f"ran {words[2].decode()} at {self.id}")
                    await self.work(self, words, writer)
                    await writer.drain()
                else:
                    writer.write(b"-ERR unknown\r\n")
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()


class Limiter:
    """A limiter process, started by the deploy file's command."""

    def __init__(self, folder, name, discovery, counter, limiter_settings, memory_mb=192,
                 sockets=1024, listen=None, control=None, extra=None):
        self.name = name
        self.folder = os.path.join(folder, name)
        os.makedirs(os.path.join(self.folder, "tmp"), exist_ok=True)
        self.listen = listen or free_address()
        self.config = {
            "name": name, "listen": self.listen, "discovery": discovery.address,
            "counter": counter.address, "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "known": discovery.whole(), "settings": limiter_settings}
        if control:
            self.config["control"] = control
        self.config.update(extra or {})

    def start(self):
        path = os.path.join(self.folder, "config.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.config, file)
        environment = {"PATH": os.environ["PATH"], "EDGE_NAME": self.name,
                       "EDGE_LISTEN": self.listen, "EDGE_CONFIG": path,
                       "EDGE_DISCOVERY": self.config["discovery"],
                       "TMPDIR": os.path.join(self.folder, "tmp")}
        self.log = open(os.path.join(self.folder, "log.txt"), "a", encoding="utf-8")
        self.process = subprocess.Popen(["/bin/sh", "-c", deploy_command()], cwd=ROOT,
                                        env=environment, stdin=subprocess.DEVNULL,
                                        stdout=self.log, stderr=self.log)
        return self

    async def wait_ready(self, timeout=30):
        ends = time.monotonic() + timeout
        while time.monotonic() < ends:
            try:
                reader, writer = await connect(self.listen)
                writer.write(command("PING"))
                kind, text = await asyncio.wait_for(read_answer(reader), 1)
                writer.close()
                if (kind, text) == ("simple", b"PONG"):
                    return
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun(f"limiter {self.name} is not ready")

    def status(self, key):
        """Returns a figure of /proc/PID/status in bytes."""
        with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as file:
            for line in file:
                if line.startswith(key + ":"):
                    return int(line.split()[1]) * 1024
        return 0

    def signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    def stop(self):
        if getattr(self, "process", None) and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class CannotRun(Exception):
    """The case could not run."""


def free_address(host="127.0.0.1"):
    import socket

    with socket.socket() as probe:
        probe.bind((host, 0))
        return "%s:%d" % probe.getsockname()


async def connect(address, limit=1 << 23):
    host, port = address.rsplit(":", 1)
    return await asyncio.open_connection(host, int(port), limit=limit)


def request(id, kind="cek-kursi", plan="utama", deadline_ms=2500, units=1, spread=1, first=0,
            account=1, key=None, body=b"body"):
    """Returns a client's command."""
    name = "SVC.QUERY" if kind == "cek-kursi" else "SVC.SUBMIT"
    fields = f"c={kind},t={plan},d={deadline_ms}"
    if key:
        fields += f",k={key}"
    fields += f",units={units},spread={spread},first={first}"
    words = [name, "%016x" % account, id, fields]
    if name == "SVC.SUBMIT":
        words.append(body)
    return command(*words)


class World:
    """Discovery, counter, servers and limiters of one run, in a temporary folder."""

    def __init__(self, record_path):
        raise_descriptor_limit()
        self.record = Record(record_path)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.limiters = []

    async def start(self, servers):
        self.discovery, self.counter = Discovery(), Counter()
        await self.discovery.start()
        await self.counter.start()
        self.servers = servers
        for server in servers:
            await server.start()
            self.discovery.put(server)

    async def limiter(self, name, limiter_settings, **options):
        limiter = Limiter(self.folder, name, self.discovery, self.counter, limiter_settings,
                          **options)
        self.limiters.append(limiter)
        limiter.start()
        await limiter.wait_ready()
        self.record.line(f"limiter {name} is ready")
        return limiter

    def close(self):
        for limiter in self.limiters:
            limiter.stop()
        self.record.close()
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def trouble():
    """Whether the disruption is to be made."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(folder, case, limit=105):
    """Runs the coroutine `case(world)`, which returns a list of breaks of the rule, and exits with
    0 if the list is empty, 1 if it is not and 2 if the case could not run."""
    import logging
    import warnings

    logging.disable(logging.CRITICAL)  # notes on connections that were cut off
    warnings.simplefilter("ignore")
    world = World(os.path.join(folder, "record.txt"))
    code = 2

    async def play():
        task = asyncio.current_task()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        return await asyncio.wait_for(case(world), limit)

    try:
        world.record.line(f"trouble: {'yes' if trouble() else 'no'}")
        breaks = asyncio.run(play())
        for text in breaks[:20]:
            world.record.line(f"BROKEN {text}")
            print("BROKEN", text)
        world.record.line(f"breaks: {len(breaks)}")
        print("rule broken" if breaks else "rule held")
        code = 1 if breaks else 0
    except CannotRun as reason:
        world.record.line(f"could not run: {reason}")
        print("could not run:", reason)
    except (asyncio.TimeoutError, asyncio.CancelledError):
        world.record.line("could not run: stopped before its end")
        print("could not run: stopped before its end")
    finally:
        world.close()
        os.sys.stdout.flush()
        os._exit(code)
