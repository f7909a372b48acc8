"""Stand-ins for the platform's store, plain servers and callers, and the control of real front processes.

Only the standard library is used. All addresses are loopback addresses. The stand-ins follow the users' pages:
PROTOCOL.md (what is on the wire), DEPLOY.md (settings of a process) and SYSTEM.md (figures of the deployment).
"""

import asyncio
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import unquote

ROOT = Path(__file__).resolve().parent.parent
FRONT = ROOT / "target" / "release" / "bluebellstage-front"
HOST = "office.example"
KEY = "key-of-north"
TENANT = "north"

# Figures of the deployment `gerplan` (SYSTEM.md).
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000,
    "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "skewMaxMs": 5000,
    "strictRevoke": False, "revokeMs": 5000, "budgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 56,
    "quotaWindowS": 8, "quotaOverage": 0.1, "quotaSlack": 17000, "recoveryS": 12, "passMs": 120,
    "retryAfterS": 0, "fencingRequired": False, "leaseMs": 3000, "thawSlackMs": 300, "ceilingWindowS": 5,
    "ceilingOverage": 1.1, "version_ms": 5000, "ttl_max_s": 5,
}
HEARTBEAT_S = 1.2
ZONES = ["sukhbaatar", "chingeltei", "bayangol"]


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run to `record.txt` beside the script."""

    def __init__(self, folder):
        self.file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def line(self, text):
        self.file.write(f"{self.now():8.3f}  {text}\n")
        self.file.flush()

    def say(self, text):
        self.line(text)
        print(text, flush=True)


_prefix = None


def loopback():
    """A loopback address of its own for each process: the metrics port is the same on all machines."""
    global _prefix
    if _prefix is None:
        _prefix = [random.randint(20, 250), random.randint(1, 250), 1]
    _prefix[2] += 1
    return f"127.{_prefix[0]}.{_prefix[1]}.{_prefix[2]}"


def free_ports(ip, count):
    """Ports that are free for TCP and UDP, below those that the system gives to outgoing connections."""
    found = []
    for port in random.sample(range(20_000, 32_000), 400):
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind((ip, port))
                udp.bind((ip, port))
            except OSError:
                continue
        found.append(port)
        if len(found) == count:
            return found
    raise RuntimeError("no free ports")


# --- HTTP ---------------------------------------------------------------------------------------------------------


async def read_head(reader):
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, is_response=False):
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                await reader.readline()
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if is_response else b""


def response(status, body=b"", headers=()):
    reason = {200: "OK", 202: "Accepted", 404: "Not Found", 409: "Conflict", 410: "Gone", 421: "Misdirected Request",
              500: "Internal Server Error", 503: "Service Unavailable"}.get(status, "Status")
    lines = [f"HTTP/1.1 {status} {reason}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def send_request(address, method, path, headers=(), body=b"", timeout=5.0):
    """Sends one request on a new connection. Returns (status, headers, body), or the reason why there is no answer."""
    ip, port = address.rsplit(":", 1)
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(ip, int(port))
            lines = [f"{method} {path} HTTP/1.1", "Connection: close"]
            lines += [f"{name}: {value}" for name, value in headers]
            if body or method in ("POST", "PUT"):
                lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
            await writer.drain()
            first, answered = await read_head(reader)
            status = int(first.split(" ")[1])
            return status, answered, await read_body(reader, answered, True)
    except TimeoutError:
        return "no answer in time"
    except (ConnectionError, OSError):
        return "connection refused or cut"
    except (asyncio.IncompleteReadError, ValueError):
        return "answer cut"
    finally:
        if writer is not None:
            writer.close()


# --- The platform's store -----------------------------------------------------------------------------------------


class Store:
    """Objects by kind and name, conditional writes, lists in pages, watches (PROTOCOL.md, the platform's store)."""

    PAGE_ITEMS = 500
    PAGE_BYTES = 1_000_000
    HISTORY_S = 20.0
    ANSWER_S = 0.004

    def __init__(self, record):
        self.record = record
        self.objects = {}
        self.history = []
        self.revision = 1000
        self.oldest = 1000
        self.changed = asyncio.Event()
        # By the address that a caller uses: which are turned away, when it last watched a kind, and what it last wrote
        # under a condition.
        self.callers = {}
        self.turned_away = set()
        self.open = set()
        self.watched = {}
        self.conditional = []
        # Addresses of servers as single callers see them, if there are links between them.
        self.views = {}
        self.first_seen = {}

    async def start(self):
        self.address = await self.listen()

    async def listen(self):
        """Opens one more address of the store: each machine may have one of its own, as a link of its own."""
        ip = loopback()
        caller = len(self.watched)
        self.watched[caller] = {}
        server = await asyncio.start_server(lambda *pair: self._serve(caller, *pair), ip, 0)
        address = f"{ip}:{server.sockets[0].getsockname()[1]}"
        self.callers[address] = caller
        return address

    def turn_away(self, addresses):
        """The store resets the connections of the callers at these addresses, also new ones, and serves all others."""
        self.turned_away = {self.callers[address] for address in addresses}
        for caller, writer in list(self.open):
            if caller in self.turned_away:
                writer.transport.abort()

    def _note(self, kind, entry, deleted):
        self.history.append((time.monotonic(), self.revision, kind, entry, deleted))
        while self.history and time.monotonic() - self.history[0][0] > self.HISTORY_S:
            self.oldest = self.history.pop(0)[1]
        self.changed.set()
        self.changed = asyncio.Event()

    def forget_history(self):
        """The history up to now is gone (`platform_compact`): watches from before it get 410, also those that wait."""
        self.history.clear()
        self.oldest = self.revision
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, kind, name, spec):
        before = self.objects.get((kind, name))
        if before is not None and before["spec"] == spec:
            return before
        self.revision += 1
        created = before["metadata"]["createRev"] if before else self.revision
        entry = {"metadata": {"name": name, "revision": self.revision, "createRev": created, "finalizers": []},
                 "spec": spec, "status": {}}
        self.objects[(kind, name)] = entry
        self._note(kind, entry, False)
        return entry

    def delete(self, kind, name):
        before = self.objects.pop((kind, name), None)
        if before is not None:
            self.revision += 1
            entry = dict(before, metadata=dict(before["metadata"], revision=self.revision))
            self._note(kind, entry, True)

    def _list(self, kind, after):
        names = sorted(name for of, name in self.objects if of == kind and name > after)
        items, size = [], 0
        for name in names:
            entry = self.objects[(kind, name)]
            size += len(json.dumps(entry))
            if items and (len(items) >= self.PAGE_ITEMS or size > self.PAGE_BYTES):
                return {"items": items, "hasMore": True, "currentRev": self.revision}
            items.append(entry)
        return {"items": items, "hasMore": False, "currentRev": self.revision}

    async def _watch(self, kind, after, wait_ms):
        until = time.monotonic() + min(wait_ms, 30_000) / 1000
        while True:
            if after < self.oldest:
                return 410, {}
            events = [{"object": entry, "deleted": deleted}
                      for _, revision, of, entry, deleted in self.history if of == kind and revision > after]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "currentRev": self.revision}
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                pass

    async def _answer(self, method, target, body):
        path, _, query = target.partition("?")
        args = {name: unquote(value) for name, _, value in (pair.partition("=") for pair in query.split("&") if pair)}
        parts = path.removeprefix("/api/objects/").split("/")
        kind, name = parts[0], parts[1] if len(parts) > 1 else ""
        await asyncio.sleep(self.ANSWER_S)
        if method == "GET" and not name:
            if "watch" in args:
                return await self._watch(kind, int(args["watch"]), int(args.get("waitMs", 0)))
            return 200, self._list(kind, args.get("after", ""))
        found = self.objects.get((kind, name))
        if method == "GET":
            return (200, found) if found else (404, {})
        sent = json.loads(body) if body else {}
        metadata = sent.get("metadata", {})
        if method == "POST":
            name = metadata["name"]
            if (kind, name) in self.objects:
                return 409, self.objects[(kind, name)]
            return 200, self.put(kind, name, sent.get("spec"))
        expected = metadata.get("revision", args.get("revision"))
        if found is None:
            return 404, {}
        if expected is not None and int(expected) != found["metadata"]["revision"]:
            return 409, found
        if method == "PUT" and len(parts) == 2:
            return 200, self.put(kind, name, sent.get("spec"))
        if method == "DELETE":
            self.delete(kind, name)
            return 200, {}
        return 404, {}

    def _seen_by(self, caller, target, found):
        """An answer as a caller gets it whose links to the servers have addresses of their own.

        The revision of the list is that of the last change of a server, so that no instance copies the list of another one,
        with addresses that are not its own; for the same reason an instance that starts does not see the others at once.
        """
        view = self.views.get(caller)
        kind = target.removeprefix("/api/objects/").partition("?")[0]
        if view is None or kind not in ("servers", "bluebellstage-members"):
            return found
        if kind == "bluebellstage-members":
            first = self.first_seen.setdefault(caller, time.monotonic())
            return dict(found, items=[]) if "items" in found and time.monotonic() - first < 0.4 else found

        def changed(entry):
            address = view.get(entry["metadata"]["name"])
            return dict(entry, spec=dict(entry["spec"], address=address)) if address else entry

        found = dict(found)
        if "items" in found:
            found["items"] = [changed(entry) for entry in found["items"]]
        if "events" in found:
            found["events"] = [dict(one, object=changed(one["object"])) for one in found["events"]]
        last = max(entry["metadata"]["revision"] for (of, _), entry in self.objects.items() if of == "servers")
        return dict(found, currentRev=last)

    async def _serve(self, caller, reader, writer):
        if caller in self.turned_away:
            writer.transport.abort()
            return
        self.open.add((caller, writer))
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = first.split(" ")
                if "watch=" in target:
                    kind = target.removeprefix("/api/objects/").partition("?")[0]
                    self.watched[caller][kind] = time.monotonic()
                status, found = await self._answer(method, target, body)
                if method == "GET" and status == 200:
                    found = self._seen_by(caller, target, found)
                if method == "PUT" and status == 200 and '"revision"' in body.decode():
                    self.conditional.append((time.monotonic(), caller, target))
                # Characters beyond ASCII leave as JSON's own escapes.
                writer.write(response(status, json.dumps(found).encode(), [("Content-Type", "application/json")]))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.open.discard((caller, writer))
            writer.close()


# --- Plain servers ------------------------------------------------------------------------------------------------


class Server:
    """One plain server. It registers, says `draining` before it leaves, and tells which requests it ran."""

    def __init__(self, record, store, service, zone, number, work_s=0.015):
        self.record, self.store, self.service, self.zone = record, store, service, zone
        self.id = f"i-{random.getrandbits(40):010x}"
        self.number = number
        self.work_s = work_s
        self.state = "ready"
        # Headers of all answers, and the share of answers that are lost, by a reset, after the request has run.
        self.headers = []
        self.lost_share = 0.0
        # The entry changes when more than `seq` changes: without it there is no event at each heartbeat.
        self.counts_beats = True
        self.seq = 0
        self.arrivals = []
        self.runs = []
        self.connections = set()
        self.born = int(time.time() * 1000)

    async def start(self):
        self.ip = loopback()
        self.listener = await asyncio.start_server(self._serve, self.ip, 0)
        self.address = f"{self.ip}:{self.listener.sockets[0].getsockname()[1]}"
        self.register()
        self.beats = asyncio.create_task(self._beat())

    def register(self):
        self.seq += 1
        self.store.put("servers", self.id, {
            "service": self.service, "address": self.address, "zone": self.zone, "version": "v1", "slots": 6,
            "state": self.state, "coldLeftMs": 0, "seq": self.seq, "born": self.born})

    async def _beat(self):
        await asyncio.sleep(random.random() * HEARTBEAT_S)
        while self.counts_beats:
            self.register()
            await asyncio.sleep(HEARTBEAT_S * random.uniform(0.95, 1.05))

    def drain(self):
        """Reports `draining`. Returns when the store has accepted the report."""
        self.state = "draining"
        self.register()
        return self.record.now()

    async def leave(self):
        """Ends: the listener is closed, and so are the connections, with what runs on them."""
        self.beats.cancel()
        self.store.delete("servers", self.id)
        self.listener.close()
        for writer in list(self.connections):
            writer.close()

    def close(self):
        self.listener.close()

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, path, _ = first.split(" ")
                request = headers.get("bluebellstage-request-id")
                if headers.get("bluebellstage-expect-instance", self.id) != self.id:
                    writer.write(response(421, b"", [("Bluebellstage-Not-Run", "1")]))
                elif path == "/api/report":
                    writer.write(response(404, b"{}", self.headers))
                elif path == "/health":
                    status = 200 if self.state == "ready" else 503
                    writer.write(response(status, b"", [("Bluebellstage-Instance-Id", self.id)]))
                elif request is None:
                    writer.write(response(400, b"", [("Bluebellstage-Not-Run", "1")]))
                else:
                    at = self.record.now()
                    self.arrivals.append((at, request))
                    self.record.line(f"server {self.number} ({self.state}) runs {request} {method} {path}")
                    self.runs.append((at, request))
                    await asyncio.sleep(self.work_s)
                    if random.random() < self.lost_share:
                        self.record.line(f"server {self.number} has run {request}, and its answer is lost")
                        writer.transport.abort()
                        return
                    stamp = f"{self.number}.{random.getrandbits(32):08x}"
                    answer = [("Bluebellstage-Request-Id", request), ("Bluebellstage-Response-Stamp", stamp),
                              ("Keep-Alive", "timeout=10"), *self.headers]
                    if self.state == "draining":
                        answer.append(("Connection", "close"))
                    writer.write(response(200, f"done by {self.number}".encode(), answer))
                await writer.drain()
                if self.state == "draining":
                    return
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()


# --- Engines ------------------------------------------------------------------------------------------------------

MODEL = "m0"


class Engine(Server):
    """A model server that streams events. It holds the base model and carries out no orders.

    Its answers have no length: they end with their connection. `crash` closes all connections, as the kernel does for a
    process that ends, and the machine is silent from then on; `restart` brings it back under the same id.
    """

    def __init__(self, record, store, zone, number, events=100, gap_s=0.03):
        super().__init__(record, store, "plan-writer", zone, number)
        self.events, self.gap_s = events, gap_s
        self.is_dark = False

    def register(self):
        self.seq += 1
        self.store.put("servers", self.id, {
            "service": self.service, "address": self.address, "zone": self.zone, "version": "v1", "slots": 64,
            "state": self.state, "coldLeftMs": 0, "seq": self.seq, "born": self.born,
            "models": [{"name": MODEL, "version": 1, "adapters": []}]})

    async def start(self):
        self.ip = loopback()
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind((self.ip, 0))
        self.socket.listen(100)
        self.socket.setblocking(False)
        self.address = f"{self.ip}:{self.socket.getsockname()[1]}"
        self.accepting = asyncio.create_task(self._accept())
        self.register()
        self.beats = asyncio.create_task(self._beat())

    def close(self):
        self.accepting.cancel()
        self.socket.close()

    async def _accept(self):
        loop = asyncio.get_running_loop()
        while True:
            client, _ = await loop.sock_accept(self.socket)
            reader, writer = await asyncio.open_connection(sock=client)
            task = asyncio.create_task(self._serve(reader, writer))
            self.tasks = {old for old in getattr(self, "tasks", set()) if not old.done()} | {task}

    async def crash(self):
        """The machine goes down: what it had connected is closed, and it does not respond any more."""
        self.is_dark = True
        self.accepting.cancel()
        self.beats.cancel()
        # With a full queue of new connections the kernel drops further ones, as a machine without power does.
        self.socket.listen(0)
        self.fillers = []
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.socket.getsockname())
            self.fillers.append(filler)
        for writer in list(self.connections):
            writer.close()
        for task in self.tasks:
            task.cancel()
        self.connections.clear()

    async def restart(self):
        """The machine is back, and the server starts again under its id."""
        for filler in self.fillers:
            filler.close()
        self.socket.setblocking(False)
        while True:
            try:
                self.socket.accept()[0].close()
            except BlockingIOError:
                break
        self.socket.listen(100)
        self.is_dark = False
        self.seq, self.born = 0, int(time.time() * 1000)
        self.accepting = asyncio.create_task(self._accept())
        self.register()
        self.beats = asyncio.create_task(self._beat())

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                await read_body(reader, headers)
                method, path, _ = first.split(" ")
                request = headers.get("bluebellstage-request-id")
                born = self.born
                if headers.get("bluebellstage-expect-instance", self.id) != self.id:
                    writer.write(response(421, b"", [("Bluebellstage-Not-Run", "1")]))
                elif path == "/api/report":
                    report = {"stage": "colocated", "models": [{"name": MODEL, "version": 1, "adapters": []}],
                              "busy": False, "seq": self.seq, "queueDepth": 0, "inFlight": len(self.connections),
                              "kvUsed": 0, "kvTotal": 154428, "handles": 0, "born": born}
                    writer.write(response(200, json.dumps(report).encode(), [("Content-Type", "application/json")]))
                elif path == "/health":
                    writer.write(response(200, b"", [("Bluebellstage-Instance-Id", self.id)]))
                elif path == "/api/order":
                    writer.write(response(409))
                else:
                    await self._stream(writer, request, int(headers.get("last-event-id", 0)))
                    return
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def _stream(self, writer, request, after):
        self.runs.append((self.record.now(), request))
        self.record.line(f"engine {self.number} runs {request} after event {after}")
        await asyncio.sleep(self.gap_s)
        writer.write((f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n"
                      f"Bluebellstage-Request-Id: {request}\r\nBluebellstage-Weight-Versions: 1\r\n"
                      f"Bluebellstage-Response-Stamp: {self.number}.{random.getrandbits(32):08x}\r\n\r\n").encode())
        for number in range(after + 1, self.events + 1):
            writer.write(f"id: {number}\ndata: piece {number}\n\n".encode())
            await writer.drain()
            await asyncio.sleep(self.gap_s)
        self.record.line(f"engine {self.number} has sent all events of {request}")


class AdapterEngine(Engine):
    """A model server that holds the base model and carries out orders for adapters (PROTOCOL.md, POST /api/order)."""

    SLOTS, LOAD_S = 30, 0.25

    def __init__(self, record, store, zone, number, events=6, gap_s=0.03):
        super().__init__(record, store, zone, number, events, gap_s)
        self.count, self.adapters, self.coming, self.orders = 0, [], [], []

    def models(self):
        return [{"name": MODEL, "version": 1, "adapters": [f"{name}@1" for name in self.adapters]}]

    def register(self):
        self.store.put("servers", self.id, {
            "service": self.service, "address": self.address, "zone": self.zone, "version": "v1", "slots": 64,
            "state": self.state, "coldLeftMs": 0, "seq": self.count, "born": self.born, "models": self.models()})

    async def _load(self, name):
        await asyncio.sleep(self.LOAD_S)
        self.coming.remove(name)
        self.adapters.append(name)

    def _order(self, order):
        """Returns the status of the answer to an order. Fencing tokens are not checked here (`fencingRequired` false)."""
        self.orders.append((self.record.now(), order["holder"], order["fencingToken"]))
        self.record.line(f"engine {self.number} gets the order {order['operation']} {order.get('adapter', '')} of "
                         f"{order['holder']} with token {order['fencingToken']}")
        name = order.get("adapter")
        if order.get("precondition", self.count) != self.count:
            return 409
        if order["operation"] == "load":
            if name is None or name in self.adapters or name in self.coming:
                return 200
            if len(self.adapters) + len(self.coming) >= self.SLOTS or len(self.coming) >= 4:
                return 409
            self.coming.append(name)
            self.count += 1
            self.loading = asyncio.create_task(self._load(name))
            return 202
        if name in self.adapters:
            self.adapters.remove(name)
            self.count += 1
        return 200

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                path = first.split(" ")[1]
                request = headers.get("bluebellstage-request-id")
                adapter = headers.get("bluebellstage-model", "").partition("/")[2]
                if headers.get("bluebellstage-expect-instance", self.id) != self.id:
                    writer.write(response(421, b"", [("Bluebellstage-Not-Run", "1")]))
                elif path == "/api/order":
                    writer.write(response(self._order(json.loads(body))))
                elif path == "/api/report":
                    report = {"stage": "colocated", "models": self.models(), "busy": False, "seq": self.count,
                              "queueDepth": 0, "inFlight": 0, "kvUsed": 0, "kvTotal": 154428, "handles": 0,
                              "born": self.born, "coming": [f"{MODEL}/{name}@1" for name in self.coming]}
                    writer.write(response(200, json.dumps(report).encode(), [("Content-Type", "application/json")]))
                elif path == "/health":
                    writer.write(response(200, b"", [("Bluebellstage-Instance-Id", self.id)]))
                elif adapter and adapter not in self.adapters:
                    writer.write(response(421, b"", [("Bluebellstage-Request-Id", request),
                                                     ("Bluebellstage-Not-Run", "1")]))
                else:
                    await self._stream(writer, request, int(headers.get("last-event-id", 0)))
                    return
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()


async def send_stream(address, headers, body, timeout):
    """Sends a streaming request. Returns (status or reason, numbers of the events, whether the answer is complete)."""
    ip, port = address.rsplit(":", 1)
    writer, numbers, status = None, [], "no answer"
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(ip, int(port))
            lines = ["POST /draft/2f HTTP/1.1", "Connection: close", f"Content-Length: {len(body)}"]
            lines += [f"{name}: {value}" for name, value in headers]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
            first, answered = await read_head(reader)
            status = int(first.split(" ")[1])
            if "chunked" not in answered.get("transfer-encoding", ""):
                await read_body(reader, answered, True)
                return status, numbers, True
            text = b""
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                if size == 0:
                    await reader.readline()
                    return status, numbers, True
                text += await reader.readexactly(size)
                await reader.readexactly(2)
                while b"\n\n" in text:
                    event, _, text = text.partition(b"\n\n")
                    found = [line for line in event.split(b"\n") if line.startswith(b"id:")]
                    numbers.append(int(found[0][3:]) if found else None)
    except TimeoutError:
        return status, numbers, False
    except (ConnectionError, OSError, asyncio.IncompleteReadError, ValueError):
        return status, numbers, False
    finally:
        if writer is not None:
            writer.close()


class Link:
    """The link from one front to one server, which can be cut: new connections are refused and open ones reset."""

    def __init__(self, server):
        self.server, self.open, self.listener = server, set(), None

    async def start(self):
        self.ip = loopback()
        self.port = free_ports(self.ip, 1)[0]
        self.address = f"{self.ip}:{self.port}"
        await self.heal()

    async def heal(self):
        self.listener = await asyncio.start_server(self._carry, self.ip, self.port)

    def cut(self):
        if self.listener is not None:
            self.listener.close()
            self.listener = None
        for writer in list(self.open):
            writer.transport.abort()

    async def _carry(self, reader, writer):
        ip, port = self.server.address.rsplit(":", 1)
        try:
            server_reader, server_writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            writer.transport.abort()
            return
        self.open |= {writer, server_writer}

        async def pump(source, sink, other):
            try:
                while data := await source.read(65536):
                    sink.write(data)
                    await sink.drain()
                sink.close()
            except OSError:
                sink.transport.abort()
                other.transport.abort()

        try:
            await asyncio.gather(pump(reader, server_writer, writer), pump(server_reader, writer, server_writer))
        except asyncio.CancelledError:
            pass
        finally:
            self.open -= {writer, server_writer}
            writer.close()
            server_writer.close()


# --- Front processes ----------------------------------------------------------------------------------------------


class Front:
    """A real `bluebellstage-front`, started as the deploy file says, with the settings that DEPLOY.md shows."""

    def __init__(self, record, folder, store, number, fleet):
        self.record, self.folder, self.store, self.number, self.fleet = record, Path(folder), store, number, fleet
        self.store_address = store.address
        self.has_seeds = True
        self.name = f"front-{ZONES[number % 3]}-{number // 3 + 1}"
        self.zone = ZONES[number % 3]
        self.ip = loopback()
        names = ["front", "ready", "control", "directory", "gossip"]
        self.ports = dict(zip(names, free_ports(self.ip, len(names))))
        self.process = None

    def address(self, name):
        return f"{self.ip}:{self.ports[name]}"

    def write_settings(self):
        seeds = [front.address("control") for front in self.fleet][:3] if self.has_seeds else []
        fields = {
            "node": self.name, "role": "instance", "machineClass": "front",
            "serves": ["front", "control", "directory"], "ip": self.ip, "zone": self.zone, "region": "ub-capital",
            "zones": {zone: "ub-capital" for zone in ZONES},
            "listen": {name: self.address(name) for name in ("front", "ready", "control", "directory")},
            "portRange": [self.ports["gossip"], self.ports["gossip"]], "seeds": seeds, "bootstrap": True,
            "countsAsLoss": False,
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entry": "directory", "heartbeatMs": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine", "tenants",
                          "quota", "platform"],
            "tolerate": {"machines": 2, "zones": 0, "regions": 0}, "bounds": BOUNDS,
            "platform": {"address": self.store_address, "form": "objects", "writesPerS": 400, "readsPerS": 2000,
                         "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000},
        }
        # JSON is YAML, too.
        self.settings = self.folder / f"{self.name}.yaml"
        self.settings.write_text(json.dumps(fields, indent=1))

    async def start(self):
        self.write_settings()
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["BLUEBELLSTAGE_SETTINGS"] = str(self.settings)
        log = open(self.folder / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            str(FRONT), "--log", "debug", stdout=log, stderr=log, env=environment, cwd=ROOT)
        log.close()
        self.record.line(f"{self.name} starts at {self.address('front')}")

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.record.line(f"{self.name} gets {signal.Signals(number).name}")
            self.process.send_signal(number)

    async def kill(self):
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def is_ready(self):
        answer = await send_request(self.address("ready"), "GET", "/api/readiness", [("Host", self.ip)], timeout=1.0)
        return isinstance(answer, tuple) and answer[0] == 200


# --- A deployment -------------------------------------------------------------------------------------------------


def config(version, changes=None):
    """The operator's configuration: `plan-submit` and `case-lookup` of the deployment `gerplan`."""
    def route(name, kind, attempts):
        return {"name": name, "host": HOST, "pathPrefix": f"/{name}/", "kind": kind, "service": "case-registry",
                "timeoutMs": 800, "targetLatencyMs": 100, "priority": 2, "maxAttempts": attempts}
    spec = {
        "version": version,
        "routes": [route("submit", "unsafe", 1), route("lookup", "safe", 2),
                   {"name": "draft", "host": HOST, "pathPrefix": "/draft/", "kind": "streaming", "resumable": True,
                    "service": "plan-writer", "timeoutMs": 15000, "targetLatencyMs": 500, "gapTargetMs": 250,
                    "priority": 0, "maxAttempts": 2}],
        "services": [{"name": "case-registry", "healthPath": "/health", "maxConns": 110, "slots": 6},
                     {"name": "plan-writer", "healthPath": "/health", "maxConns": 370, "slots": 64,
                      "engine": {"slots": 64, "kvCapacityTokens": 154428, "weightsMb": 36200, "adapterSlots": 30,
                                 "loadsPerS": 2.9, "models": [{"name": MODEL, "weightsMb": 34300, "loadS": 1,
                                                               "adapters": 3000, "adapterMb": 40}]}}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": TENANT, "apiKeys": [KEY], "unit": "tokens", "plainTokens": 200, "ratePerS": 400000,
                     "burst": 400000}],
    }
    spec.update(changes or {})
    return spec


class Deployment:
    """A store, plain servers and front processes, all ended by `end`."""

    def __init__(self, record, fronts=3, servers=3, own_links=False, own_paths=False):
        self.record = record
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        self.store = Store(record)
        self.front_count, self.server_count = fronts, servers
        self.own_links, self.own_paths, self.links = own_links or own_paths, own_paths, {}
        self.fronts, self.servers = [], []

    async def start(self):
        if not hasattr(self.store, "address"):
            await self.store.start()
        self.store.put("config", "main", config(7))
        for number in range(self.server_count):
            await self.add_server(number)
        for number in range(self.front_count):
            self.fronts.append(Front(self.record, self.folder.name, self.store, number, self.fronts))
        for front in self.fronts:
            if self.own_links:
                front.store_address = await self.store.listen()
            if self.own_paths:
                await self.lay_links(front)
            await front.start()
        await self.until_ready()

    async def lay_links(self, front):
        """Lays links of its own from a front to all servers, and lets it see their addresses in the store."""
        front.has_seeds = False
        view = self.store.views[self.store.callers[front.store_address]] = {}
        self.links[front.name] = []
        for server in self.servers:
            link = Link(server)
            await link.start()
            view[server.id] = link.address
            self.links[front.name].append(link)

    async def add_engine(self, number, kind=Engine, **options):
        engine = kind(self.record, self.store, ZONES[number % 3], number, **options)
        await engine.start()
        self.servers.append(engine)
        return engine

    async def add_server(self, number):
        server = Server(self.record, self.store, "case-registry", ZONES[number % 3], number)
        await server.start()
        self.servers.append(server)
        return server

    async def until_ready(self, timeout=20.0):
        until = time.monotonic() + timeout
        while time.monotonic() < until:
            if all([await front.is_ready() for front in self.fronts]):
                return
            await asyncio.sleep(0.1)
        for front in self.fronts:
            log = (front.folder / f"{front.name}.log").read_text(errors="replace").splitlines()
            self.record.line(f"{front.name}: exit {front.process.returncode}, last lines: {log[-3:]}")
        raise RuntimeError("the fronts did not become ready")

    async def end(self):
        for front in self.fronts:
            await front.kill()
        for server in self.servers:
            server.beats.cancel()
            server.close()
        for link in sum(self.links.values(), []):
            link.cut()
        self.folder.cleanup()


class Callers:
    """Callers that ask the directory, pick an address at random, and send one request on each new connection."""

    def __init__(self, record, deployment, per_s, deadline_ms=1500):
        self.record, self.deployment, self.per_s, self.deadline_ms = record, deployment, per_s, deadline_ms
        self.sent = {}
        self.answers = {}
        self.tasks = set()

    async def addresses(self):
        fronts = random.sample(self.deployment.fronts, len(self.deployment.fronts))
        for front in fronts[:3]:
            answer = await send_request(
                front.address("directory"), "GET", f"/api/resolve?name={HOST}&region=ub-capital&zone={front.zone}",
                [("Host", HOST)], timeout=1.0)
            if isinstance(answer, tuple) and answer[0] == 200:
                found = json.loads(answer[2])["addresses"]
                if found:
                    return found
        return []

    async def one(self, kind, addresses):
        request = f"{random.getrandbits(64):016x}"
        address = random.choice(addresses)
        method, path = ("POST", "/submit/2f") if kind == "unsafe" else ("GET", "/lookup/2f")
        headers = [("Host", HOST), ("Bluebellstage-Request-Id", request),
                   ("Bluebellstage-Deadline-Ms", str(self.deadline_ms)), ("Authorization", f"Token {KEY}")]
        self.sent[request] = (self.record.now(), kind, address)
        self.record.line(f"caller sends {request} ({kind}) to {address}")
        body = b"plan" if kind == "unsafe" else b""
        answer = await send_request(address, method, path, headers, body, self.deadline_ms / 1000)
        self.answers[request] = (self.record.now(), answer)
        shown = f"{answer[0]} {answer[2][:60]!r}" if isinstance(answer, tuple) else answer
        self.record.line(f"caller of {request} ({kind}) gets {shown}")

    async def run(self, seconds):
        until = time.monotonic() + seconds
        # A third of the callers keep the addresses for three times as long as they are told.
        found, kept, asked, kept_since = [], [], 0.0, 0.0
        while time.monotonic() < until:
            if time.monotonic() - asked > 1.0:
                fresh = await self.addresses()
                found, asked = fresh or found, time.monotonic()
                if time.monotonic() - kept_since > 3.0:
                    kept, kept_since = found, time.monotonic()
            if found:
                kind = "unsafe" if random.random() < 0.7 else "safe"
                task = asyncio.create_task(self.one(kind, random.choice([found, found, kept])))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(random.expovariate(self.per_s))
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=self.deadline_ms / 1000 + 1)


def main(folder, case):
    """Runs a case. It returns whether the rule was broken."""
    if not FRONT.exists():
        print("the program is not built")
        sys.exit(2)
    record = Record(folder)
    record.say(f"trouble: {'yes' if trouble() else 'no'}")

    async def limited():
        async with asyncio.timeout(110):
            return await case(record)

    try:
        broken = asyncio.run(limited())
    except Exception as err:  # the case could not run
        record.say(f"the case could not run: {type(err).__name__}: {err}")
        sys.exit(2)
    record.say("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)
