"""Stand-ins for the platform, its operator, workers and clients, and the processes of the system.

Everything runs on loopback addresses with the real clock. Only the standard library is used.
"""

import asyncio
import collections
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
SETTINGS_PATH = "/etc/chestnutloft/local.json"
HEARTBEAT_S = 1.2

BOUNDS = {
    "seedLagS": 3, "addrReuseS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000,
    "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250,
    "maxStretchMs": 5000, "strictRevoke": True, "revokeMs": 5000, "retryBudgetRatio": 0.9,
    "budgetWindowS": 10, "retryBudgetSlack": 52, "exposureShare": 0.15, "exposureSlack": 30,
    "rollbackMs": 5000, "coldFactor": 1.5, "coldSlack": 5, "evacuateMs": 5000, "recoveryS": 12,
    "passMs": 120, "retryAfterS": 10, "sessionS": 5,
}
CONTRACTS = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants",
             "places", "rollout"]
ZONES = {"zone-a": "region-1", "zone-b": "region-1", "zone-c": "region-1"}


class CannotRun(Exception):
    """The case cannot run here; the script exits with 2."""


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started

    def line(self, text):
        self.file.write(f"{self.now():9.3f} s  {text}\n")

    def say(self, text):
        self.line(text)
        print(text, flush=True)

    def close(self):
        self.file.close()


def look_up(settings, path):
    value = settings
    for part in path.split("."):
        if isinstance(value, list):
            value = value[int(part)]
        else:
            value = value.get(part) if isinstance(value, dict) else None
    return value


def render(template, settings):
    """Fills in the placeholders that the templates of the deploy file use."""

    def fill(match):
        path, _, form = match.group(1).partition("|")
        value = look_up(settings, path)
        if form == "json":
            return json.dumps(value)
        if isinstance(value, bool):
            return "true" if value else "false"
        return "" if value is None else str(value)

    return re.sub(r"\{\{([^}]+)\}\}", fill, template)


class Process:
    """A process of the system, started with the command of its role in the deploy file."""

    def __init__(self, name, command, log_path, environment):
        self.name = name
        self.command = command
        self.log_path = log_path
        self.environment = environment
        self.child = None

    def start(self):
        log = open(self.log_path, "ab")
        self.child = subprocess.Popen(
            self.command, cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
            env=self.environment)
        log.close()

    def signal(self, number):
        if self.child is not None and self.child.poll() is None:
            self.child.send_signal(number)

    def end(self):
        if self.child is not None and self.child.poll() is None:
            self.child.send_signal(signal.SIGCONT)
            self.child.kill()
            self.child.wait()


class System:
    """A small deployment: keepers on addresses N.1 and up, entries on N.11 and up."""

    def __init__(self, record, keepers=3, entries=2, tolerated=1, contracts=None):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="case-")
        self.net = f"127.{random.randint(20, 200)}.{random.randint(1, 250)}"
        self.ports = self.free_ports(5)
        self.control, self.front, self.ready, self.internal, self.worker_port = self.ports
        self.processes = {}
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.roles = tomllib.load(file)["roles"]
        seeds = [f"{self.net}.{n}:{self.control}" for n in range(1, min(keepers, 3) + 1)]
        self.keepers = [f"{self.net}.{n}:{self.control}" for n in range(1, keepers + 1)]
        self.entries = [f"{self.net}.{n}" for n in range(11, 11 + entries)]
        zones = list(ZONES)
        common = {
            "region": "region-1", "zones": ZONES, "internalPorts": [self.internal, self.internal + 15],
            "seeds": seeds, "bootstrap": True, "discovery": "registry", "entry": "vip",
            "heartbeatMs": int(HEARTBEAT_S * 1000), "contracts": contracts or CONTRACTS,
            "faultTolerance": {"machines": tolerated, "zones": 1, "regions": 0}, "bounds": BOUNDS,
            "configMode": "highest",
        }
        for n in range(1, keepers + 1):
            name = f"core-{n}"
            data = os.path.join(self.folder, name, "data")
            os.makedirs(data)
            self.add(name, "keeper", dict(
                common, nodeName=name, role="keeper", machineClass="core", serves=["control"],
                ip=f"{self.net}.{n}", zone=zones[(n - 1) % 3], countsAsLoss=True, dataDir=data,
                listen={"control": f"{self.net}.{n}:{self.control}"},
                limits={"cpuShare": 0.6, "cores": 1, "memoryMb": 256, "maxFds": 4096,
                        "linkMbps": 1000.0, "diskMb": 128}))
        for n, ip in enumerate(self.entries, 1):
            name = f"front-{n}"
            os.makedirs(os.path.join(self.folder, name))
            self.add(name, "entry", dict(
                common, nodeName=name, role="entry", machineClass="front", serves=["front"], ip=ip,
                zone=zones[(n - 1) % 3], countsAsLoss=False, dataDir=None,
                listen={"front": f"{ip}:{self.front}", "readyAddr": f"{ip}:{self.ready}"},
                limits={"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4100,
                        "linkMbps": 1000.0, "diskMb": 0}))

    def free_ports(self, count):
        sockets = []
        for _ in range(count):
            one = socket.socket()
            one.bind((f"{self.net}.1", 0))
            sockets.append(one)
        ports = [one.getsockname()[1] for one in sockets]
        for one in sockets:
            one.close()
        return ports

    def add(self, name, role_name, settings):
        role = self.roles[role_name]
        folder = os.path.join(self.folder, name)
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
            rendered = render(file.read(), settings)
        path = os.path.join(folder, "local.json")
        with open(path, "w", encoding="utf-8") as file:
            file.write(rendered)
        words = [render(word, settings) for word in role["run"].split()]
        words = [path if word == SETTINGS_PATH else word for word in words]
        program = os.path.join(ROOT, words[0])
        if not os.path.exists(program):
            raise CannotRun(f"{words[0]} is not built; run the build of the deploy file")
        words[0] = program
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["CHESTNUTLOFT_BOOT"] = path
        log_path = os.path.join(folder, "log.txt")
        self.processes[name] = Process(name, words, log_path, environment)

    def start(self):
        for process in self.processes.values():
            process.start()

    async def wait_ready(self):
        for ip in self.entries:
            for _ in range(200):
                status, _, _ = await request(f"{ip}:{self.ready}", "GET", "/v1/ready")
                if status == 200:
                    break
                await asyncio.sleep(0.1)
            else:
                raise CannotRun(f"entry at {ip} does not become ready")

    def end(self):
        for process in self.processes.values():
            process.end()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs in {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    return await reader.readexactly(int(headers.get("content-length", 0)))


async def request(address, method, path, headers=None, body=b"", timeout=1.0):
    """Sends one request on a connection of its own. Returns status (0: none), headers and body."""

    async def run():
        host, port = address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            lines = [f"{method} {path} HTTP/1.1"]
            fields = {"Host": address, "Content-Length": str(len(body))} | (headers or {})
            lines += [f"{name}: {value}" for name, value in fields.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
            await writer.drain()
            first, answer_headers = await read_head(reader)
            return int(first.split()[1]), answer_headers, await read_body(reader, answer_headers)
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(run(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError,
            asyncio.LimitOverrunError):
        return 0, {}, b""


async def control_call(addresses, method, path, content=None, timeout=1.0, rounds=40):
    """Calls one of the daemons that serve `control`; follows a 307 twice, moves on after a failure."""
    body = b"" if content is None else json.dumps(content).encode()
    headers = {"Content-Type": "application/json"} if content is not None else {}
    delay = 0.05
    for attempt in range(rounds):
        address = addresses[attempt % len(addresses)]
        target = path
        for _ in range(3):
            status, answer, text = await request(address, method, target, headers, body, timeout)
            if status != 307:
                break
            location = answer.get("location", "")
            match = re.match(r"http://([^/]+)(/.*)", location)
            if not match:
                break
            address, target = match.groups()
        if 200 <= status < 300 or status in (400, 404, 409, 412, 413, 422):
            return status, text, address
        await asyncio.sleep(delay)
        delay = min(delay * 1.5, 0.5)
    return 0, b"", ""


class Operator:
    """Sends orders until they get a clear answer, as the pages say."""

    def __init__(self, system):
        self.system = system
        self.record = system.record

    async def order(self, path, content=None):
        status, text, _ = await control_call(self.system.keepers, "POST", path, content)
        self.record.line(f"operator: POST {path} {'' if content is None else json.dumps(content)[:160]} -> {status}")
        if status != 200:
            raise CannotRun(f"the order {path} got {status}: {text[:200]!r}")
        return self.record.now()

    async def rollout_state(self, service):
        status, text, _ = await control_call(
            self.system.keepers, "GET", f"/v1/rollouts/{service}/get", rounds=6)
        return json.loads(text)["state"] if status == 200 else ""


class StreamPlan:
    """How a model worker answers: time to the first event, time between events, their number."""

    def __init__(self, first_s, gap_s, events, confidence=lambda model: 90):
        self.first_s, self.gap_s, self.events = first_s, gap_s, events
        self.confidence = confidence


class Worker:
    """A sound worker of a plain service, to the pages' section on workers."""

    def __init__(self, system, number, service, zone, version="v1", slots=64, work_s=0.03,
                 cold_s=0.0, failing_share=0.0, stream=None, models=None):
        self.system = system
        self.record = system.record
        self.id = f"i-{number:02d}-{random.getrandbits(24):06x}"
        self.service, self.zone, self.version = service, zone, version
        self.slots, self.work_s, self.failing_share = slots, work_s, failing_share
        self.stream, self.models = stream, models
        self.host = f"{system.net}.{100 + number}"
        self.address = f"{self.host}:{system.worker_port}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.cold_until = self.record.now() + cold_s
        self.running = 0
        self.arrivals = []          # (time, request id, status)
        self.acked_states = {}      # state -> time of the first acknowledgement
        self.known_cold_at = None   # when the entries can know that the worker is cold again
        self.last_cold_ack = None   # (time, cold time left) of the last acknowledged cold heartbeat
        self.server = None
        self.connections = set()
        self.tasks = []
        self.on_arrival = None
        self.heartbeat_now = asyncio.Event()
        self.control = random.sample(system.keepers, len(system.keepers))

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.system.worker_port)
        self.tasks.append(asyncio.create_task(self.announce()))
        self.record.line(f"worker {self.id} ({self.service} {self.version}) starts at {self.address},"
                         f" cold for {max(0.0, self.cold_until - self.record.now()):.1f} s")

    def cold_left_ms(self):
        return max(0, int((self.cold_until - self.record.now()) * 1000))

    async def announce(self):
        while True:
            await self.heartbeat()
            try:
                await asyncio.wait_for(self.heartbeat_now.wait(), HEARTBEAT_S)
            except asyncio.TimeoutError:
                pass
            self.heartbeat_now.clear()

    async def heartbeat(self):
        self.sequence += 1
        state, cold_left = self.state, self.cold_left_ms()
        content = {
            "service": self.service, "address": self.address, "zone": self.zone,
            "version": self.version, "slots": self.slots, "state": state, "coldLeftMs": cold_left,
            "sequence": self.sequence, "born": self.born,
        }
        if self.models:
            models = [{"name": name, "version": 1, "adapters": []} for name in self.models]
            content |= {"stage": "both", "models": models}
        path = f"/v1/instances/{self.id}/heartbeat"
        status, text, address = await control_call(self.control, "POST", path, content, rounds=6)
        self.record.line(f"worker {self.id}: heartbeat {self.sequence} state {state},"
                         f" coldLeftMs {cold_left} -> {status}")
        if 200 <= status < 300:
            now = self.record.now()
            self.acked_states.setdefault(state, now)
            if cold_left > 0:
                self.last_cold_ack = (now, cold_left)
            try:
                named = json.loads(text).get("heartbeatAddr")
            except ValueError:
                named = None
            first = named or address
            self.control = [first] + [other for other in self.control if other != first]

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, path, _ = first.split(" ")
                await self.answer(reader, writer, method, path, headers, body)
        except (OSError, asyncio.IncompleteReadError, ValueError, asyncio.LimitOverrunError,
                asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def reply(self, writer, status, request_id, body=b"", extra=()):
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
        if request_id:
            lines.append(f"X-Request-Id: {request_id}")
        lines += extra
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
        await writer.drain()

    async def send_stream(self, reader, writer, request_id, headers):
        """Prefills, then sends events with increasing ids; stops when its connection closes."""
        plan = self.stream
        first_id = int(headers.get("last-event-id", 0)) + 1
        gone = asyncio.ensure_future(reader.read(1))
        try:
            await asyncio.wait({gone}, timeout=random.uniform(0.8, 1.2) * plan.first_s)
            if gone.done():
                self.record.line(f"worker {self.id}: {request_id} ends with its connection")
                raise ConnectionResetError
            lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked",
                     f"X-Request-Id: {request_id}", f"X-Response-Seal: {self.id}.{random.getrandbits(32):08x}",
                     f"X-Confidence: {plan.confidence(headers.get('x-model', ''))}"]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
            for number in range(first_id, plan.events + 1):
                event = f"id: {number}\ndata: {self.id} {number}\n\n".encode()
                writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                await writer.drain()
                if number < plan.events:
                    await asyncio.wait({gone}, timeout=plan.gap_s)
                if gone.done():
                    self.record.line(f"worker {self.id}: {request_id} ends with its connection")
                    raise ConnectionResetError
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            self.record.line(f"worker {self.id}: {request_id} is complete")
        finally:
            # A connection carries one request at a time: nothing else is read meanwhile.
            gone.cancel()
            await asyncio.gather(gone, return_exceptions=True)

    async def answer(self, reader, writer, method, path, headers, body):
        request_id = headers.get("x-request-id", "")
        if path == "/health":
            status = 200 if self.state == "ready" else 503
            await self.reply(writer, status, "", extra=[f"X-Instance-Id: {self.id}",
                                                        f"X-Cold-Ms: {self.cold_left_ms()}"])
            return
        expected = headers.get("x-expect-instance")
        if expected is not None and expected != self.id:
            await self.reply(writer, 421, request_id, extra=["X-Not-Executed: 1"])
            return
        if self.running >= self.slots:
            self.arrivals.append((self.record.now(), request_id, "full"))
            await self.reply(writer, 503, request_id, extra=["X-Not-Executed: 1"])
            return
        at = self.record.now()
        failed = random.random() < self.failing_share
        self.arrivals.append((at, request_id, 500 if failed else 200))
        self.record.line(f"worker {self.id} ({self.version}): request {request_id} arrives and runs")
        if self.on_arrival is not None:
            self.on_arrival(self, at)
        self.running += 1
        try:
            if self.stream is not None:
                await self.send_stream(reader, writer, request_id, headers)
                return
            await asyncio.sleep(random.uniform(0.5, 1.5) * self.work_s)
        finally:
            self.running -= 1
        seal = [f"X-Response-Seal: {self.id}.{random.getrandbits(32):08x}"]
        content = f"{self.id} {request_id}\n".encode() * 10
        await self.reply(writer, 500 if failed else 200, request_id, content, seal)

    async def drain_and_leave(self):
        """Reports draining, serves on for `drainMs` and a little, deregisters and ends."""
        self.state = "draining"
        self.heartbeat_now.set()
        await asyncio.sleep(BOUNDS["drainMs"] / 1000 + 1.0)
        path = f"/v1/instances/{self.id}/deregister"
        await control_call(self.control, "POST", path, {"born": self.born}, rounds=6)
        self.crash("leaves")

    def crash(self, why):
        self.record.line(f"worker {self.id}: {why}; {self.running} requests were running")
        for task in self.tasks:
            task.cancel()
        if self.server is not None:
            self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()


def config(version, routes, services, tenants=()):
    content = {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000},
    }
    if tenants:
        content["tenants"] = list(tenants)
    return content


class Clients:
    """Clients that send requests at a steady rate, each on a connection of its own."""

    def __init__(self, system, host, path, rate, deadline_ms=2500, method="GET", session=None,
                 headers=lambda: {}):
        self.system, self.host, self.path = system, host, path
        self.rate, self.deadline_ms, self.method = rate, deadline_ms, method
        self.session, self.headers = session, headers
        self.record = system.record
        self.answers = collections.Counter()
        self.sent = {}              # request id -> time
        self.results = {}           # request id -> (time, status, entry)
        self.task = None
        self.running = set()

    def start(self):
        self.task = asyncio.create_task(self.run())

    async def run(self):
        next_at = time.monotonic()
        while True:
            next_at += random.uniform(0.5, 1.5) / self.rate
            await asyncio.sleep(max(0.0, next_at - time.monotonic()))
            one = asyncio.create_task(self.send())
            self.running.add(one)
            one.add_done_callback(self.running.discard)

    async def send(self):
        request_id = f"{random.getrandbits(64):016x}"
        ip = random.choice(self.system.entries)
        headers = {"Host": self.host, "X-Request-Id": request_id,
                   "X-Deadline-Ms": str(self.deadline_ms)} | self.headers()
        if self.session:
            headers["Session"] = self.session()
        self.sent[request_id] = self.record.now()
        self.record.line(f"client: {self.method} {self.path} as {request_id} to {ip}")
        status, answer, _ = await request(f"{ip}:{self.system.front}", self.method, self.path, headers,
                                          timeout=self.deadline_ms / 1000 + 0.5)
        self.results[request_id] = (self.record.now(), status, ip)
        self.answers[status] += 1
        self.record.line(f"client: {request_id} gets {status or 'no answer'}")

    async def stop(self):
        self.task.cancel()
        for _ in range(100):
            if not self.running:
                break
            await asyncio.sleep(0.05)


def most_in_window(times, window=1.0):
    """Largest number of `times` in any span of `window` seconds, and when that span began."""
    times = sorted(times)
    most, at, low = 0, 0.0, 0
    for high, moment in enumerate(times):
        while moment - times[low] >= window:
            low += 1
        if high - low + 1 > most:
            most, at = high - low + 1, times[low]
    return most, at


def main(folder, case, limit_s=110):
    """Runs `case(record, has_trouble)`, which returns whether the rule held."""
    record = Record(folder)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        held = asyncio.run(asyncio.wait_for(case(record, has_trouble), limit_s))
    except (CannotRun, asyncio.TimeoutError, OSError) as problem:
        record.say(f"the case could not run: {problem!r}")
        record.close()
        sys.exit(2)
    record.say("the rule held" if held else "the rule was broken")
    record.close()
    sys.exit(0 if held else 1)
