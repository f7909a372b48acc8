"""Stand-ins for the second review: the platform's store, servers, clients, and the instances as separate processes.

They speak what PROTOCOL.md and the news pages say, on loopback addresses and the real clock. Nothing is installed:
the standard library of Python 3 is enough.
"""

import asyncio
import json
import os
import secrets
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

HOST = "office.example"
KEY = "key-of-north"
TENANT = "north"
MODEL = "base"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
START = time.monotonic()


class Record:
    """Writes what was sent, answered and run to record.txt in the case's folder."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def __call__(self, text):
        line = f"{time.monotonic() - START:9.3f} {text}"
        print(line, file=self.file, flush=True)


def free_ports(count):
    sockets = []
    for _ in range(count):
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.bind(("127.0.0.1", 0))
        sockets.append(sock)
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


def free_port_pair():
    """Two neighbouring ports for traffic between instances."""
    while True:
        (first,) = free_ports(1)
        if first > 65000:
            continue
        try:
            for port in (first, first + 1):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as sock:
                        sock.bind(("127.0.0.1", port))
            return first, first + 1
        except OSError:
            continue


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    @property
    def path(self):
        return self.target.split("?")[0]

    @property
    def query(self):
        text = self.target.split("?", 1)[1] if "?" in self.target else ""
        return dict(urllib.parse.parse_qsl(text, keep_blank_values=True))

    def header(self, name, default=None):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    """Returns the first line and the headers, or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += data[:-2]
    length = int(headers.get("content-length", "0"))
    return await reader.readexactly(length) if length else b""


async def read_request(reader):
    read = await read_head(reader)
    if read is None:
        return None
    line, headers = read
    method, target, _version = line.split(" ", 2)
    try:
        body = await read_body(reader, headers)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, headers, body)


REASONS = {200: "OK", 202: "Accepted", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone",
           421: "Misdirected Request", 503: "Service Unavailable"}


def response(status, body=b"", headers=()):
    if isinstance(body, (dict, list)):
        body = json.dumps(body).encode()
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Store:
    """The platform's store: objects by kind and name, conditional writes, lists and watches."""

    def __init__(self):
        self.objects = {}
        self.history = []
        self.revision = 100
        self.changed = asyncio.Condition()
        self.address = None
        self.server = None
        self.era = 0

    def copy(self):
        """Returns a copy of what the system has written, and the revision."""
        own = {key: entry for key, entry in self.objects.items() if key[0].startswith("bluebellstage-")}
        return self.revision, own

    async def restore(self, copy):
        """Comes back from a copy: what the system wrote since is gone, revisions go back, watches are cut.

        What the operator and the servers wrote is written again at once.
        """
        self.era += 1
        revision, own = copy
        others = {key: entry for key, entry in self.objects.items() if not key[0].startswith("bluebellstage-")}
        self.revision = revision
        self.objects = dict(own)
        self.history = []
        self.restored_at = revision
        for (kind, name), entry in others.items():
            await self.put(kind, name, entry[2])
        async with self.changed:
            self.changed.notify_all()

    restored_at = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()

    def shown(self, name, entry):
        revision, created, spec, status = entry
        metadata = {"name": name, "revision": revision, "createRev": created, "finalizers": [], "deleting": False}
        return {"metadata": metadata, "spec": spec, "status": status}

    async def put(self, kind, name, spec):
        known = self.objects.get((kind, name))
        if known is not None and known[2] == spec:
            return self.shown(name, known)
        self.revision += 1
        created = known[1] if known else self.revision
        entry = (self.revision, created, spec, None)
        self.objects[(kind, name)] = entry
        self.history.append((self.revision, kind, self.shown(name, entry), False))
        async with self.changed:
            self.changed.notify_all()
        return self.shown(name, entry)

    async def remove(self, kind, name):
        known = self.objects.pop((kind, name), None)
        if known is None:
            return
        self.revision += 1
        self.history.append((self.revision, kind, self.shown(name, known), True))
        async with self.changed:
            self.changed.notify_all()

    def changes(self, kind, after):
        return [{"object": shown, "deleted": deleted}
                for revision, of, shown, deleted in self.history if of == kind and revision > after]

    async def watch(self, kind, after, wait_ms):
        era = self.era
        if after > self.revision or after < self.restored_at:
            return response(410, {})
        until = time.monotonic() + wait_ms / 1000
        while not self.changes(kind, after):
            left = until - time.monotonic()
            if left <= 0:
                break
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    break
            if self.era != era:
                return response(410, {})
        return response(200, {"events": self.changes(kind, after), "currentRev": self.revision})

    async def answer(self, request):
        parts = request.path.split("/", 4)
        if parts[1:3] != ["api", "objects"] or len(parts) < 4:
            return response(404)
        kind = urllib.parse.unquote(parts[3])
        name = urllib.parse.unquote(parts[4]) if len(parts) > 4 else ""
        query = request.query
        if request.method == "GET" and not name:
            if "watch" in query:
                return await self.watch(kind, int(query["watch"]), int(query.get("waitMs", "0")))
            items = sorted((key[1], entry) for key, entry in self.objects.items() if key[0] == kind)
            items = [item for item in items if item[0] > query.get("after", "")]
            page = [self.shown(*item) for item in items[:500]]
            return response(200, {"items": page, "hasMore": len(items) > 500, "currentRev": self.revision})
        known = self.objects.get((kind, name))
        if request.method == "GET":
            return response(200, self.shown(name, known)) if known else response(404, {})
        if request.method == "DELETE":
            if known is None:
                return response(404, {})
            if "revision" in query and int(query["revision"]) != known[0]:
                return response(409, self.shown(name, known))
            await self.remove(kind, name)
            return response(200, {})
        body = json.loads(request.body or b"{}")
        metadata = body.get("metadata", {})
        if request.method == "POST":
            name = metadata["name"]
            known = self.objects.get((kind, name))
            if known is not None:
                return response(409, self.shown(name, known))
            return response(200, await self.put(kind, name, body.get("spec")))
        if request.method == "PUT":
            if known is None:
                return response(404, {})
            if metadata.get("revision", known[0]) != known[0]:
                return response(409, self.shown(name, known))
            return response(200, await self.put(kind, name, body.get("spec")))
        return response(404)

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                answer = await self.answer(request)
                line, rest = answer.split(b"\r\n", 1)
                writer.write(line + b"\r\nStore-Era: %d\r\n" % self.era + rest)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Server:
    """A server of the platform. `run` decides what it does with a request that is meant for it."""

    HEARTBEAT_S = 1.2

    def __init__(self, store, record, name, service, slots=16, port=None):
        self.store = store
        self.record = record
        self.id = name
        self.service = service
        self.slots = slots
        self.port = port or free_ports(1)[0]
        self.born = None
        self.beats = 0
        self.writers = set()
        self.listener = None
        self.beating = None
        self.extra_headers = []

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    def models(self):
        return []

    def entry(self):
        return {"service": self.service, "address": self.address, "zone": "north", "version": "v1",
                "slots": self.slots, "state": "ready", "coldLeftMs": 0, "stage": "colocated",
                "models": self.models(), "seq": self.beats, "born": self.born}

    async def start(self):
        self.born = int(time.time() * 1000)
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        self.beating = asyncio.create_task(self.beat())
        self.record(f"server {self.id} starts")

    async def beat(self):
        while True:
            self.beats += 1
            await self.store.put("servers", self.id, self.entry())
            await asyncio.sleep(self.HEARTBEAT_S)

    def crash(self, back_in):
        """The process ends: connections are reset, new ones refused; it is back after some seconds."""
        if self.listener is None:
            return
        self.record(f"server {self.id} crashes")
        self.listener.close()
        self.listener = None
        self.beating.cancel()
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()
        if back_in is not None:
            asyncio.get_running_loop().call_later(back_in, lambda: asyncio.create_task(self.start()))

    def answer_headers(self, request):
        headers = [("Content-Type", "application/json"), ("Bluebellstage-Instance-Id", self.id)]
        if request.header("bluebellstage-request-id"):
            headers.append(("Bluebellstage-Request-Id", request.header("bluebellstage-request-id")))
        return headers + self.extra_headers

    def report(self):
        return {"stage": "colocated", "models": self.models(), "busy": False, "seq": 0, "queueDepth": 0,
                "inFlight": 0, "kvUsed": 0, "kvTotal": 90000, "handles": 0, "born": self.born}

    async def handle(self, request, reader, writer):
        expected = request.header("bluebellstage-expect-instance")
        headers = self.answer_headers(request)
        if expected is not None and expected != self.id:
            return response(421, b"", headers)
        if request.path == "/api/report":
            return response(200, self.report(), headers)
        if request.path == "/health":
            return response(200, b"", headers)
        if request.path == "/api/order":
            return await self.order(request, headers)
        return await self.run(request, reader, writer, headers)

    async def order(self, request, headers):
        return response(400, {}, headers)

    async def run(self, request, reader, writer, headers):
        raise NotImplementedError

    async def before_answer(self, request, writer):
        """What the server sends before the answer that is due."""

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                await self.before_answer(request, writer)
                answer = await self.handle(request, reader, writer)
                if answer is not None:
                    writer.write(answer)
                    await writer.drain()
                    self.after_answer(request, answer, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def after_answer(self, request, answer, writer):
        """Called once an answer was sent."""


class Instance:
    """An instance of the project, as a separate process with the deploy file's command."""

    def __init__(self, record, folder, name, store, bounds=None, ip="127.0.0.1"):
        self.record = record
        self.name = name
        self.ip = ip
        front, ready, control, directory = free_ports(4)
        gossip = free_port_pair()
        self.front = (ip, front)
        self.ready = (ip, ready)
        self.control = (ip, control)
        self.settings = os.path.join(folder, f"{name}.yaml")
        self.log_path = os.path.join(folder, f"{name}.log")
        fields = {
            "node": name, "role": "instance", "machineClass": "front", "serves": ["front", "control", "directory"],
            "ip": ip, "zone": "north", "region": "land", "zones": {"north": "land"},
            "listen": {"front": f"{ip}:{front}", "ready": f"{ip}:{ready}",
                       "control": f"{ip}:{control}", "directory": f"{ip}:{directory}"},
            "portRange": list(gossip), "seeds": [], "bootstrap": True, "countsAsLoss": False,
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4100, "linkMbps": 1000.0,
                       "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entry": "directory", "heartbeatMs": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine",
                          "tenants", "quota", "platform"],
            "tolerate": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": {"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4,
                       "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000,
                       "rollbackSlackMs": 250, "skewMaxMs": 5000, "strictRevoke": False, "revokeMs": 5000,
                       "budgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 56, "quotaWindowS": 8,
                       "quotaOverage": 0.1, "quotaSlack": 17000, "recoveryS": 12, "passMs": 120,
                       "retryAfterS": 0, "fencingRequired": False, "leaseMs": 3000, "thawSlackMs": 300,
                       "ceilingWindowS": 5, "ceilingOverage": 1.1, "version_ms": 5000, "ttl_max_s": 5,
                       **(bounds or {})},
            "platform": {"address": store.address, "form": "objects", "writesPerS": 400, "readsPerS": 2000,
                         "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000},
        }
        self.fields = fields
        self.process = None

    async def start(self):
        self.fields["bootstrap"] = self.process is None
        # JSON is YAML.
        with open(self.settings, "w", encoding="utf-8") as file:
            json.dump(self.fields, file)
        root = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..")
        program = os.path.join("target", "release", "bluebellstage-front")
        if not os.path.exists(os.path.join(root, program)):
            raise RuntimeError("the program is not built")
        log = open(self.log_path, "ab")
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", ""),
                       "LANG": os.environ.get("LANG", ""), "BLUEBELLSTAGE_SETTINGS": self.settings}
        self.process = await asyncio.create_subprocess_exec(
            program, "--log", "debug", cwd=root, env=environment, stdout=log, stderr=log)
        self.record(f"instance {self.name} starts")

    async def until_ready(self, limit=20):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            try:
                status, _headers, _body = await call(self.ready, "GET", "/api/readiness", timeout=1)
                if status == 200:
                    return
            except (OSError, asyncio.TimeoutError, EOFError):
                pass
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{self.name} is not ready")

    def send_signal(self, sent):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(sent)

    async def end(self):
        if self.process is None or self.process.returncode is not None:
            return
        self.process.send_signal(signal.SIGCONT)
        self.process.kill()
        await self.process.wait()

    def log(self):
        with open(self.log_path, encoding="utf-8", errors="replace") as file:
            return file.read()


async def call(address, method, path, headers=(), body=b"", timeout=10):
    """Sends one request on a new connection. Returns status, headers and body; a body that was cut raises EOFError."""
    return await asyncio.wait_for(_call(address, method, path, headers, body), timeout)


async def _call(address, method, path, headers, body):
    reader, writer = await asyncio.open_connection(*address)
    try:
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        if not any(name.lower() == "host" for name, _ in headers):
            lines.append(f"Host: {HOST}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await writer.drain()
        read = await read_head(reader)
        if read is None:
            raise EOFError("no answer")
        line, answered = read
        status = int(line.split(" ")[1])
        try:
            if "chunked" in answered.get("transfer-encoding", "") or "content-length" in answered:
                data = await read_body(reader, answered)
            else:
                data = await reader.read()
        except (asyncio.IncompleteReadError, ValueError, ConnectionError) as err:
            raise EOFError("a cut answer") from err
        return status, answered, data
    finally:
        writer.close()


def request_headers(request_id, deadline_ms=1500, more=()):
    return [("Host", HOST), ("Bluebellstage-Request-Id", request_id),
            ("Bluebellstage-Deadline-Ms", str(deadline_ms)), ("Authorization", f"Token {KEY}"), *more]


def new_id():
    return secrets.token_hex(8)


def route(name, kind, service, timeout_ms=1500, latency_ms=100, attempts=2, resumable=False, gap_ms=None):
    return {"name": name, "host": HOST, "pathPrefix": f"/{name}/", "kind": kind, "timeoutMs": timeout_ms,
            "targetLatencyMs": latency_ms, "priority": 0, "service": service, "maxAttempts": attempts,
            "public": False, "sticky": kind == "streaming", "resumable": resumable,
            **({"gapTargetMs": gap_ms} if gap_ms else {})}


def configuration(routes, services, version=7):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000},
            "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 1, "unit": "tokens", "plainTokens": 200,
                         "ratePerS": 94030, "burst": 94030}]}


def plain_service(name, connections=110):
    return {"name": name, "healthPath": "/health", "maxConns": connections, "protocol": "h1", "tls": False}


def run_case(folder, case):
    """Runs a case in a temporary folder, and exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    record = Record(folder)
    record("with the disruption" if TROUBLE else "without the disruption")

    async def bounded():
        with tempfile.TemporaryDirectory() as temporary:
            instances = []
            try:
                return await asyncio.wait_for(case(record, temporary, instances), 110)
            finally:
                for instance in instances:
                    await instance.end()
                if os.environ.get("KEEP_LOGS"):
                    for instance in instances:
                        os.makedirs(os.environ["KEEP_LOGS"], exist_ok=True)
                        with open(os.path.join(os.environ["KEEP_LOGS"], instance.name + ".log"), "w") as file:
                            file.write(instance.log())

    try:
        broken = asyncio.run(bounded())
    except Exception as err:  # The case couldn't run, whatever the cause.
        record(f"the case could not run: {type(err).__name__}: {err}")
        print(f"could not run: {type(err).__name__}: {err}")
        sys.exit(2)
    record(f"broken: {broken}" if broken else "the rule held")
    print(f"broken: {broken}" if broken else "the rule held")
    sys.exit(1 if broken else 0)
