"""A model server: streams, adapters in slots, orders with a count, as PROTOCOL.md describes it."""

import asyncio

import harness as h

LOAD_S = 0.25


class Engine(h.Server):
    """Holds one model. Its adapters take slots; an order that overfills them crashes it."""

    def __init__(self, store, record, name, service, slots=64, adapter_slots=6, event_s=0.02):
        super().__init__(store, record, name, service, slots)
        self.adapter_slots = adapter_slots
        self.event_s = event_s
        self.forget()

    def forget(self):
        self.adapters = {}
        self.coming = {}
        self.unloading = set()
        self.running = {}
        self.seq = 0
        self.overfilled = 0

    def models(self):
        return [{"name": h.MODEL, "version": 1, "adapters": [f"{name}@1" for name in sorted(self.adapters)]}]

    def report(self):
        coming = [f"{h.MODEL}/{name}@1" for name in sorted(self.coming)]
        return {**super().report(), "seq": self.seq, "coming": coming}

    async def order(self, request, headers):
        body = h.json.loads(request.body)
        if "holder" not in body or "fencingToken" not in body:
            return h.response(400, {"order": "incomplete"}, headers)
        name = body.get("adapter")
        operation = body["operation"]
        status = self.carry_out(operation, name, body.get("precondition"))
        self.ordered(body, status)
        self.record(f"server {self.id}: order to {operation} {name} expecting {body.get('precondition')} gets {status}")
        reason = {202: "accepted", 200: "it holds already", 409: "another order is in progress, or seq differs"}
        return h.response(status, {"order": reason.get(status, "?"), "seq": self.seq}, headers)

    def ordered(self, body, status):
        """Called for each order that has arrived."""

    def carry_out(self, operation, name, expected):
        if name is None:
            return 200
        if operation == "load" and name in self.adapters and name not in self.unloading:
            return 200
        if operation == "unload" and name not in self.adapters:
            return 200
        if self.unloading or (expected is not None and expected != self.seq):
            return 409
        if operation == "load":
            self.seq += 1
            self.coming[name] = True
            if len(self.adapters) + len(self.coming) > self.adapter_slots:
                self.overfilled += 1
                self.record(f"server {self.id} is ordered to load more adapters than it has places for")
            asyncio.get_running_loop().call_later(LOAD_S, self.arrive, name)
            return 202
        self.seq += 1
        if self.running.get(name, 0):
            self.unloading.add(name)
            return 202
        del self.adapters[name]
        return 200

    def arrive(self, name):
        if self.coming.pop(name, None):
            self.adapters[name] = True

    def start_run(self, name):
        self.running[name] = self.running.get(name, 0) + 1

    def end_run(self, name):
        self.running[name] -= 1
        if not self.running[name] and name in self.unloading:
            self.unloading.discard(name)
            self.adapters.pop(name, None)

    async def run(self, request, reader, writer, headers):
        """Streams as many events as half of the highest number of tokens of the answer."""
        model = request.header("bluebellstage-model", "")
        name = model.split("/")[1] if "/" in model else None
        request_id = request.header("bluebellstage-request-id")
        if name is not None and name not in self.adapters:
            return h.response(421, {}, headers)
        if name in self.unloading:
            return h.response(503, {}, headers + [("Bluebellstage-Not-Run", "1")])
        _prompt, tokens = request.header("bluebellstage-token-counts", "100,10").split(",")
        events = max(1, int(tokens) // 5)
        first = int(request.header("last-event-id", "0")) + 1
        self.start_run(name)
        self.record(f"server {self.id} runs {request_id}")
        try:
            lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked",
                     f"Bluebellstage-Request-Id: {request_id}", f"Bluebellstage-Response-Stamp: stamp-{request_id}",
                     "Bluebellstage-Weight-Versions: 1", "Keep-Alive: timeout=5"]
            lines += [f"{key}: {value}" for key, value in self.extra_headers]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
            for number in range(first, events + 1):
                event = f"id: {number}\ndata: {request_id} {number}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                if writer.transport.is_closing():
                    return None
                await asyncio.sleep(self.event_s_of(request))
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            self.answered(request, writer)
        finally:
            self.end_run(name)
        return None

    def event_s_of(self, request):
        return self.event_s

    def answered(self, request, writer):
        """Called once a stream was sent."""


def engine_service(name, adapter_slots=6, slots=64):
    return {"name": name, "healthPath": "/health", "maxConns": 370, "protocol": "h1", "tls": False,
            "engine": {"slots": slots, "kvCapacityTokens": 154428, "kvTokenBytes": 327680, "linkMbps": 1100000.0,
                       "models": [{"name": h.MODEL, "weightsMb": 34300.0, "loadS": 1.0, "adapters": 3000,
                                   "adapterMb": 40.0, "warmS": 0.28, "diskS": 0.4}],
                       "weightsMb": 36200.0, "adapterSlots": adapter_slots, "loadsPerS": 2.9}}
