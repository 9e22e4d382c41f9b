"""Stand-ins of a small deployment: the platform that starts the programs of deploy/system.toml, the
operator, workers and clients. Python's standard library only; all addresses are loopback addresses.

What the stand-ins do follows the users' pages. Where a page is silent, they behave like sound ones.
"""

import http.client
import http.server
import json
import os
import random
import re
import shutil
import signal
import socket
import socketserver
import subprocess
import tempfile
import threading
import time
import tomllib
import uuid

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
START = time.monotonic()


def now():
    """Seconds since the start of the script."""
    return time.monotonic() - START


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self._file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self._lock = threading.Lock()

    def write(self, text):
        with self._lock:
            self._file.write(f"{now():8.3f} {text}\n")
            self._file.flush()

    def say(self, text):
        self.write(text)
        print(f"{now():8.3f} {text}", flush=True)


def free_port(hosts):
    """A port that is free on all `hosts`."""
    for _ in range(200):
        port = random.randint(20_000, 32_000)
        try:
            for host in hosts:
                with socket.socket() as probe:
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    probe.bind((host, port))
            return port
        except OSError:
            continue
    raise SystemExit(2)


def render(template, fields):
    """Fills in the placeholders that the project's templates use: {{a.b}}, {{a.0}} and {{a|json}}."""

    def value_of(match):
        path, as_json = match.group(1), match.group(2)
        value = fields
        for part in path.split("."):
            value = value[int(part)] if isinstance(value, list) else value.get(part)
            if value is None:
                break
        if as_json:
            return json.dumps(value)
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        if isinstance(value, list):
            return ",".join(str(item) for item in value)
        return json.dumps(value) if isinstance(value, dict) else str(value)

    return re.sub(r"\{\{([A-Za-z0-9_.]+)(\|json)?\}\}", value_of, template)


class Machine:
    """A machine with one process."""

    def __init__(self, platform, role, name, ip, zone, founding):
        self.platform, self.role, self.name, self.ip, self.zone = platform, role, name, ip, zone
        self.founding = founding
        self.folder = os.path.join(platform.folder, name)
        self.data = os.path.join(self.folder, "data") if role == "keeper" else None
        os.makedirs(self.data or self.folder, exist_ok=True)
        self.process = None
        self.is_on = True
        self.starts = 0
        self.own_ends = 0
        self.log = open(os.path.join(self.folder, "log.txt"), "ab")

    def settings_path(self):
        return os.path.join(self.folder, "local.json")

    def fields(self):
        platform = self.platform
        is_front = self.role == "entry"
        return {
            "nodeName": self.name,
            "role": self.role,
            "machineClass": "front" if is_front else "core",
            "serves": ["front"] if is_front else ["control"],
            "ip": self.ip,
            "zone": self.zone,
            "region": "region-1",
            "zones": {zone: "region-1" for zone in platform.zones},
            "listen": {
                "front": f"{self.ip}:{platform.front_port}",
                "readyAddr": f"{self.ip}:{platform.ready_port}",
            }
            if is_front
            else {"control": f"{self.ip}:{platform.control_port}"},
            "internalPorts": [platform.internal_port, platform.internal_port],
            "seeds": list(platform.seeds),
            "bootstrap": self.founding,
            "countsAsLoss": not is_front,
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4100,
                       "linkMbps": 1000.0, "diskMb": 0 if is_front else 128},
            "dataDir": None if is_front else self.data,
            "discovery": "registry",
            "entry": "vip",
            "heartbeatMs": platform.heartbeat_ms,
            "contracts": platform.contracts,
            "faultTolerance": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": platform.bounds,
            "configMode": "highest",
        }

    def write_settings(self):
        role = self.platform.roles[self.role]
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
            text = render(file.read(), self.fields())
        path = self.settings_path()
        with open(path + ".new", "w", encoding="utf-8") as file:
            file.write(text)
        os.rename(path + ".new", path)

    def start(self):
        self.write_settings()
        words = self.platform.roles[self.role]["run"].split()
        words = [render(word, self.fields()) for word in words]
        # The deploy file names the place of the settings on the users' machines.
        words = [self.settings_path() if w == "/etc/chestnutloft/local.json" else w for w in words]
        words[0] = os.path.join(ROOT, words[0])
        keep = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        self.process = subprocess.Popen(
            words, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log, env=keep
        )
        self.starts += 1
        self.is_on = True

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        """SIGKILL; the platform doesn't start the process again until `start`."""
        self.is_on = False
        self.signal(signal.SIGKILL)
        if self.process:
            self.process.wait()

    def wipe(self):
        """The machine's disk is lost: an empty folder is in its place."""
        shutil.rmtree(self.data)
        os.makedirs(self.data)

    def terminate(self, grace_s):
        """SIGTERM, then SIGKILL after `grace_s`, as the platform stops a process for good."""
        self.is_on = False
        self.signal(signal.SIGTERM)
        try:
            self.process.wait(grace_s)
        except subprocess.TimeoutExpired:
            self.kill()


class Platform:
    """Starts and stops machines, and starts processes again that end by themselves."""

    zones = ["zone-a", "zone-b", "zone-c"]
    heartbeat_ms = 1200
    contracts = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream",
                 "tenants", "places", "rollout"]
    bounds = {
        "seedLagS": 3, "addrReuseS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4,
        "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000,
        "rollbackSlackMs": 250, "maxStretchMs": 5000, "strictRevoke": True, "revokeMs": 5000,
        "retryBudgetRatio": 0.9, "budgetWindowS": 10, "retryBudgetSlack": 52,
        "exposureShare": 0.15, "exposureSlack": 30, "rollbackMs": 5000, "coldFactor": 1.5,
        "coldSlack": 5, "evacuateMs": 5000, "recoveryS": 12, "passMs": 120, "retryAfterS": 10,
        "sessionS": 5,
    }

    def __init__(self, record):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-2-")
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.roles = tomllib.load(file)["roles"]
        for role in self.roles.values():
            if not os.path.exists(os.path.join(ROOT, role["run"].split()[0])):
                print(f"{role['run'].split()[0]} is not built")
                raise SystemExit(2)
        net = f"127.{random.randint(20, 120)}"
        self.net = net
        hosts = [f"{net}.{zone}.{n}" for zone in range(1, 4) for n in range(1, 20)]
        self.front_port = free_port(hosts)
        self.ready_port = free_port(hosts)
        self.control_port = free_port(hosts)
        self.internal_port = free_port(hosts)
        self.machines = []
        self.seeds = []
        self.is_closing = False
        self._thread = threading.Thread(target=self._watch, daemon=True)
        self._thread.start()

    def add(self, role, name, zone_index, number, founding=False, start=True):
        ip = f"{self.net}.{zone_index + 1}.{number}"
        machine = Machine(self, role, name, ip, self.zones[zone_index], founding)
        self.machines.append(machine)
        if start:
            machine.start()
        return machine

    def control_addresses(self):
        """Addresses of the machines that serve control, as the operator's list has them."""
        return [f"{m.ip}:{self.control_port}" for m in self.machines if m.role == "keeper" and m.is_on]

    def _watch(self):
        while not self.is_closing:
            for machine in list(self.machines):
                process = machine.process
                if machine.is_on and process and process.poll() is not None:
                    machine.own_ends += 1
                    self.record.say(f"{machine.name} ended by itself with {process.returncode}")
                    time.sleep(0.3)
                    if machine.is_on and not self.is_closing:
                        machine.start()
            time.sleep(0.05)

    def close(self):
        self.is_closing = True
        self._thread.join()
        for machine in self.machines:
            machine.kill()
            machine.log.close()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs in {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def call(address, method, path, headers=None, body=None, timeout=1.0):
    """One request on a new connection. Returns status, headers and body; status 0 without an answer."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    except (OSError, http.client.HTTPException):
        return 0, {}, b""
    finally:
        connection.close()


def control_call(platform, method, path, body=None, first=None, timeout=1.0):
    """A call to `control`: picks a daemon, follows a 307 twice, and moves on after a failure, a 5xx, a
    408 or 429, or a second without an answer. One round over all daemons."""
    addresses = platform.control_addresses()
    random.shuffle(addresses)
    if first:
        addresses = [first] + [a for a in addresses if a != first]
    status, answer, address = 0, b"", None
    for address in addresses:
        target, place = address, path
        for _ in range(3):
            headers = {"Content-Type": "application/json"} if body else {}
            status, fields, answer = call(target, method, place, headers, body, timeout)
            if status != 307:
                break
            location = fields.get("Location") or fields.get("location") or ""
            match = re.match(r"http://([^/]+)(/.*)", location)
            if not match:
                break
            target, place = match.group(1), match.group(2)
        if status and status < 500 and status not in (307, 408, 429):
            return status, answer, target
    return status, answer, address


class Operator:
    """Sends orders until they are acknowledged."""

    def __init__(self, platform, record):
        self.platform, self.record = platform, record

    def order(self, path, body=None, for_s=30.0, what=""):
        """Returns whether the order was acknowledged."""
        text = json.dumps(body) if body is not None else None
        until = time.monotonic() + for_s
        pause = 0.1
        while time.monotonic() < until:
            status, answer, address = control_call(self.platform, "POST", path, text)
            if 200 <= status < 300:
                self.record.say(f"operator: {what or path} acknowledged by {address}")
                return True
            if status in (400, 409, 412, 413, 422):
                self.record.say(f"operator: {what or path} ended with {status} {answer[:200]!r}")
                return False
            time.sleep(pause)
            pause = min(1.0, pause * 1.5)
        self.record.say(f"operator: {what or path} not acknowledged within {for_s} s")
        return False

    def put(self, config, for_s=30.0):
        return self.order("/v1/config/put", config, for_s, f"configuration {config['version']}")

    def read(self):
        """The configuration as read back, or None."""
        status, answer, _ = control_call(self.platform, "GET", "/v1/config/get")
        return json.loads(answer) if status == 200 else None


class Worker:
    """A worker of a plain service: answers after `work_s`, with a seal, and reports itself."""

    def __init__(self, platform, record, service, ip, zone, version="v1", slots=6, work_s=0.02):
        self.platform, self.record, self.service = platform, record, service
        self.zone, self.version, self.slots, self.work_s = zone, version, slots, work_s
        self.id = "i-" + uuid.uuid4().hex[:10]
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.runs = {}
        self.running = 0
        self.lock = threading.Lock()
        self.is_closing = False
        worker = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True
            wbufsize = 64 * 1024

            def log_message(self, *_):
                pass

            def do_GET(self):
                worker.answer(self)

            do_POST = do_GET

        class Server(http.server.ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 128

            def handle_error(self, *_):
                pass

            def server_bind(self):
                # Without the look-up of the host's name, for which there may be no network.
                socketserver.TCPServer.server_bind(self)
                self.server_name, self.server_port = self.server_address[:2]

        self.server = Server((ip, 0), Handler)
        self.address = f"{ip}:{self.server.server_address[1]}"
        threading.Thread(target=self.server.serve_forever, args=(0.05,), daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()

    def answer(self, request):
        length = int(request.headers.get("Content-Length") or 0)
        body = request.rfile.read(length) if length else b""
        if request.path == "/health":
            self.reply(request, 200, b"", {"X-Instance-Id": self.id})
            return
        call_id = request.headers.get("X-Request-Id")
        if not call_id:
            self.reply(request, 400, b"", {"X-Not-Executed": "1"})
            return
        if request.headers.get("X-Expect-Instance", self.id) != self.id:
            self.reply(request, 421, b"", {"X-Not-Executed": "1", "X-Request-Id": call_id})
            return
        with self.lock:
            if self.running >= self.slots * 4:
                self.reply(request, 503, b"", {"X-Not-Executed": "1", "X-Request-Id": call_id})
                return
            self.running += 1
            self.runs[call_id] = self.runs.get(call_id, 0) + 1
        try:
            self.run(request, call_id, body)
        finally:
            with self.lock:
                self.running -= 1

    def run(self, request, call_id, body):
        self.record.write(f"worker {self.id}: runs {call_id}")
        time.sleep(self.work_s)
        self.reply(request, 200, f"{self.id} {call_id}".encode(),
                   {"X-Request-Id": call_id, "X-Response-Seal": f"seal.{call_id}"})

    def reply(self, request, status, body, headers):
        try:
            request.send_response(status)
            for name, value in headers.items():
                request.send_header(name, value)
            request.send_header("X-Server-Load", f"{self.running},0,{self.slots}")
            request.send_header("Content-Length", str(len(body)))
            request.end_headers()
            request.wfile.write(body)
            request.wfile.flush()
        except OSError:
            request.close_connection = True

    def notice(self):
        with self.lock:
            self.sequence += 1
            return {"service": self.service, "address": self.address, "zone": self.zone,
                    "version": self.version, "slots": self.slots, "state": self.state,
                    "coldLeftMs": 0, "sequence": self.sequence, "born": self.born}

    def beat_once(self, first=None):
        """One heartbeat; returns whether it was acknowledged, and the address for the next one."""
        text = json.dumps(self.notice())
        path = f"/v1/instances/{self.id}/heartbeat"
        status, answer, _ = control_call(self.platform, "POST", path, text, first)
        if not 200 <= status < 300:
            return False, None
        try:
            return True, json.loads(answer).get("heartbeatAddr")
        except ValueError:
            return True, None

    def _beat(self):
        address = None
        while not self.is_closing:
            is_acked, address = self.beat_once(address)
            time.sleep(self.platform.heartbeat_ms / 1000 if is_acked else 0.3)

    def close(self):
        self.is_closing = True
        self.server.shutdown()
        self.server.server_close()


class Traffic:
    """Clients that send requests at a steady rate, each on a new connection, and retry as the pages
    say. Keeps the outcome of every request."""

    def __init__(self, platform, record, fronts, host, path, method="GET", per_s=20.0,
                 deadline_ms=2500, key=None, retries=1, headers=None, is_repeatable=None):
        self.platform, self.record, self.fronts = platform, record, fronts
        self.host, self.path, self.method, self.per_s = host, path, method, per_s
        self.deadline_ms, self.key, self.retries = deadline_ms, key, retries
        self.headers = headers or {}
        self.is_repeatable = method == "GET" if is_repeatable is None else is_repeatable
        self.outcomes = []
        self.lock = threading.Lock()
        self.is_closing = False
        self.threads = []
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self):
        due = time.monotonic()
        while not self.is_closing:
            thread = threading.Thread(target=self._request, daemon=True)
            thread.start()
            self.threads.append(thread)
            due += 1.0 / self.per_s
            time.sleep(max(0.0, due - time.monotonic()))

    def attempt(self, front, deadline):
        """One client attempt; returns id, status, headers and body."""
        call_id = uuid.uuid4().hex[:16]
        left = max(0.05, deadline - time.monotonic())
        headers = {"Host": self.host, "X-Request-Id": call_id, "X-Deadline-Ms": str(int(left * 1000)), **self.headers}
        if self.key:
            headers["Authorization"] = f"Bearer {self.key}"
        address = f"{front.ip}:{self.platform.front_port}"
        body = b"order" if self.method == "POST" else None
        self.record.write(f"client: {call_id} {self.method} {self.path} to {front.name}")
        status, fields, answer = call(address, self.method, self.path, headers, body, left)
        self.record.write(f"client: {call_id} got {status or 'no answer'}")
        return call_id, status, fields, answer

    def _request(self):
        sent = now()
        deadline = time.monotonic() + self.deadline_ms / 1000
        status, call_id = 0, ""
        for turn in range(1 + self.retries):
            front = random.choice(self.fronts)
            call_id, status, fields, _ = self.attempt(front, deadline)
            if status == 200 or status in (400, 401, 404, 413, 431):
                break
            may_retry = self.is_repeatable or status in (408, 421, 429, 503)
            fields = {name.lower(): value for name, value in fields.items()}
            wait = float(fields.get("retry-after") or 0.05)
            left = deadline - time.monotonic()
            if turn == self.retries or not may_retry or left <= 0:
                break
            time.sleep(max(0.0, min(wait, left / 3)))
        with self.lock:
            self.outcomes.append((sent, status, call_id))

    def share_served(self, from_s, to_s):
        """Number of requests sent in that time, and the share of them that got 200."""
        with self.lock:
            statuses = [status for sent, status, _ in self.outcomes if from_s <= sent < to_s]
        served = sum(1 for status in statuses if status == 200)
        return len(statuses), served / max(1, len(statuses))

    def close(self):
        self.is_closing = True
        self.thread.join()
        for thread in self.threads:
            thread.join(6.0)


def service_rule(name, **more):
    return {"name": name, "healthPath": "/health", "maxConns": 96, "protocol": "h1", "tls": False,
            "coldStartS": 0.0, "coldPerS": 0.0, **more}


def route_rule(name, prefix, service, kind="safe", **more):
    return {"name": name, "host": "shop.example", "pathPrefix": prefix, "routeType": kind,
            "timeoutMs": 2500, "targetLatencyMs": 150, "priority": 0, "service": service,
            "maxAttempts": 2 if kind == "safe" else 1, "authExempt": False, "sticky": False, **more}


def config(version, routes, services, tenants=(), idle=0):
    """A configuration; `idle` adds a route that nobody uses."""
    routes = list(routes)
    if idle:
        routes.append(route_rule(f"idle-{idle}", f"/idle-{idle}/", services[0]["name"]))
    return {"version": version, "routes": routes, "services": list(services),
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000},
            "tenants": list(tenants)}


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


MODELS = ["small-1", "large-1"]


class ModelWorker(Worker):
    """A worker that runs models: answers a stream of events with increasing ids."""

    events = 6
    gap_s = 0.02

    def run(self, request, call_id, body):
        self.record.write(f"worker {self.id}: runs {call_id}")
        first = int(request.headers.get("Last-Event-Id") or 0) + 1
        try:
            request.send_response(200)
            for name, value in {"X-Request-Id": call_id, "X-Response-Seal": f"seal.{call_id}",
                                "X-Confidence": "100", "Content-Type": "text/event-stream",
                                "X-Server-Load": f"{self.running},0,{self.slots}",
                                "Transfer-Encoding": "chunked"}.items():
                request.send_header(name, value)
            request.end_headers()
            for number in range(first, self.events + 1):
                time.sleep(self.gap_s)
                event = f"id: {number}\ndata: {self.id} {call_id}\n\n".encode()
                request.wfile.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                request.wfile.flush()
            request.wfile.write(b"0\r\n\r\n")
            request.wfile.flush()
        except OSError:
            request.close_connection = True

    def answer(self, request):
        call_id = request.headers.get("X-Request-Id")
        is_own = request.headers.get("X-Expect-Instance", self.id) == self.id
        if call_id and is_own and request.headers.get("X-Model") not in MODELS:
            length = int(request.headers.get("Content-Length") or 0)
            request.rfile.read(length)
            self.record.write(f"worker {self.id}: 421 to {call_id}, model {request.headers.get('X-Model')}")
            self.reply(request, 421, b"", {"X-Not-Executed": "1", "X-Request-Id": call_id})
            return
        super().answer(request)

    def notice(self):
        return {**super().notice(), "stage": "both",
                "models": [{"name": name, "version": 1, "adapters": []} for name in MODELS]}


def model_service(name):
    return service_rule(name, engine={
        "slots": 64, "kvCapacityTokens": 469210, "kvTokenBytes": 18432, "linkMbps": 130000.0,
        "moves": True, "backups": True, "stride": 7, "most": 12, "pinMs": 4000.0, "holdMs": 2000.0,
        "handleTtlS": 5.0, "models": [{"name": MODELS[0], "cost": 0.018}, {"name": MODELS[1], "cost": 0.27}]})


def model_route(name, prefix, service):
    return route_rule(name, prefix, service, "stream", sizes=MODELS, resumable=True, sticky=True,
                      maxAttempts=3, timeoutMs=5000, targetLatencyMs=2000, targetGapMs=1500)
