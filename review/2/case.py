"""The last servers of a software version leave as planned, and then all processes are killed at the same moment.

STAY=1: no server leaves, so that servers of both versions serve all the time; what counts is then whether streams go on.
"""

import asyncio
import os
import random
import signal
import sys
from pathlib import Path

sys.dont_write_bytecode = True
sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import BOUNDS, HOST, KEY, MODEL, Callers, Deployment, Engine, main, read_body, read_head, trouble  # noqa: E402

FRONTS, OLD, NEW, PER_S, EVENTS, GAP_S = 4, 3, 3, 12, 60, 0.1
STAY = os.environ.get("STAY") == "1"
DEADLINE_S, RETRIES = 15.0, 4 if STAY else 3
LEAVE_AT, KILL_AFTER_S, RESTART_S, END_AFTER_S, SECONDS = 10.0, 2.5, 0.5, 9.0, 24.0


class VersionedEngine(Engine):
    """A model server of a software version, whose streams have chunks."""

    def __init__(self, record, store, zone, number, software):
        super().__init__(record, store, zone, number, EVENTS, GAP_S)
        self.software = software

    def register(self):
        self.seq += 1
        self.store.put("servers", self.id, {
            "service": self.service, "address": self.address, "zone": self.zone, "version": self.software, "slots": 64,
            "state": self.state, "coldLeftMs": 0, "seq": self.seq, "born": self.born,
            "models": [{"name": MODEL, "version": 1, "adapters": []}]})

    def vanish(self):
        """Leaves without a report: its entry is removed, and it goes on serving."""
        self.beats.cancel()
        self.store.delete("servers", self.id)

    async def end(self):
        self.accepting.cancel()
        self.socket.close()
        for writer in list(self.connections):
            writer.close()

    async def _stream(self, writer, request, after):
        self.runs.append((self.record.now(), request))
        self.record.line(f"engine {self.number} ({self.software}) runs {request} after event {after}")
        await asyncio.sleep(self.gap_s)
        writer.write((f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n"
                      f"Transfer-Encoding: chunked\r\nBluebellstage-Request-Id: {request}\r\n"
                      f"Bluebellstage-Weight-Versions: 1\r\n"
                      f"Bluebellstage-Response-Stamp: {self.number}.{random.getrandbits(32):08x}\r\n\r\n").encode())
        for number in range(after + 1, self.events + 1):
            event = f"id: {number}\ndata: {self.software} piece {number}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.gap_s)
        writer.write(b"0\r\n\r\n")


async def attempt(address, headers, events):
    """One client attempt. Adds the events (number, software version) as they come, and returns (status, complete)."""
    ip, port = address.rsplit(":", 1)
    writer, status, retry_after = None, "no answer", 0.0
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, int(port)), 1.0)
        lines = ["POST /draft/2f HTTP/1.1", "Connection: close", "Content-Length: 6"]
        lines += [f"{name}: {value}" for name, value in headers]
        writer.write(("\r\n".join(lines) + "\r\n\r\nprompt").encode())
        first, answered = await read_head(reader)
        status, retry_after = int(first.split(" ")[1]), float(answered.get("retry-after", 0))
        if status != 200:
            await read_body(reader, answered, True)
            return status, False, retry_after
        text = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                return status, True, 0.0
            text += await reader.readexactly(size)
            await reader.readexactly(2)
            while b"\n\n" in text:
                event, _, text = text.partition(b"\n\n")
                fields = dict(line.split(": ", 1) for line in event.decode().split("\n"))
                events.append((int(fields["id"]), fields["data"].split(" ")[0]))
    except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError):
        return status, False, retry_after
    finally:
        if writer is not None:
            writer.close()


class Streams:
    """Clients that take their streams up after a broken connection, as the pages say."""

    def __init__(self, record, deployment):
        self.record, self.directory, self.addresses, self.streams = record, Callers(record, deployment, 1), [], []
        # When each client attempt was sent, how many events its client had, and how many it got.
        self.attempts = []

    async def look_up(self):
        while True:
            self.addresses = await self.directory.addresses() or self.addresses
            await asyncio.sleep(1.0)

    async def one(self):
        events, tries, until = [], [], asyncio.get_running_loop().time() + DEADLINE_S
        self.streams.append((events, tries))
        first, prefix = None, f"{random.getrandbits(32):08x}:300,{random.getrandbits(32):08x}:328"
        while len(tries) <= RETRIES:
            left = until - asyncio.get_running_loop().time()
            request, address = f"{random.getrandbits(64):016x}", random.choice(self.addresses)
            headers = [("Host", HOST), ("Bluebellstage-Request-Id", request), ("Bluebellstage-Model", MODEL),
                       ("Bluebellstage-Deadline-Ms", str(int(left * 1000))), ("Authorization", f"Token {KEY}"),
                       ("Bluebellstage-Token-Counts", "628,300"), ("Bluebellstage-Prompt-Prefix", prefix)]
            if events:
                headers += [("Last-Event-Id", str(events[-1][0])), ("Resumes", first)]
            had, at = len(events), self.record.now()
            try:
                async with asyncio.timeout(left):
                    status, complete, pause = await attempt(address, headers, events)
            except TimeoutError:
                status, complete, pause = "timed out", False, 0.0
            if first is None and events:
                first = request
            tries.append((request, status, len(events) - had))
            self.attempts.append((at, had, len(events) - had))
            self.record.line(f"client attempt {request} at {address} after {had} events of {first or request}: {status}, "
                             f"{len(events) - had} events, {'complete' if complete else 'not complete'}")
            if complete or status in (400, 401, 404, 413, 431, "timed out"):
                return
            # A sound client waits longer from one retry to the next.
            await asyncio.sleep(max(pause, random.uniform(0.5, 1.0) * 0.5 * 2 ** (len(tries) - 1)))
            if asyncio.get_running_loop().time() > until - 0.5:
                return


async def case(record):
    deployment = Deployment(record, fronts=FRONTS, servers=0)
    try:
        await deployment.store.start()
        old = [await deployment.add_engine(20 + number, kind=VersionedEngine, software="v1") for number in range(OLD)]
        for number in range(NEW):
            await deployment.add_engine(30 + number, kind=VersionedEngine, software="v2")
        await deployment.start()
        streams = Streams(record, deployment)
        looking = asyncio.create_task(streams.look_up())
        await asyncio.sleep(0.5)
        tasks = []

        async def traffic():
            while True:
                tasks.append(asyncio.create_task(streams.one()))
                await asyncio.sleep(random.expovariate(PER_S))

        sending = asyncio.create_task(traffic())
        await asyncio.sleep(LEAVE_AT)
        if not STAY:
            for engine in old:
                engine.vanish()
            record.say(f"the servers of v1 leave without a report, at {record.now():.3f}: their entries are removed, and they "
                       f"serve on")
        await asyncio.sleep(KILL_AFTER_S)
        if trouble():
            record.say(f"all processes are killed, at {record.now():.3f}")
            for front in deployment.fronts:
                front.signal(signal.SIGKILL)
            await asyncio.gather(*(front.process.wait() for front in deployment.fronts))
            await asyncio.sleep(RESTART_S)
            await asyncio.gather(*(front.start() for front in deployment.fronts))
        restarted = record.now()
        await asyncio.sleep(END_AFTER_S - KILL_AFTER_S)
        if not STAY:
            for engine in old:
                await engine.end()
            record.say(f"the servers of v1 have ended, at {record.now():.3f}")
        await asyncio.sleep(SECONDS - LEAVE_AT - END_AFTER_S)
        sending.cancel()
        await asyncio.wait(tasks, timeout=DEADLINE_S)
        looking.cancel()
        mixed = [(events, tries) for events, tries in streams.streams if len({software for _, software in events}) > 1]
        complete = [events for events, _ in streams.streams if [number for number, _ in events] == list(range(1, EVENTS + 1))]
        for events, tries in mixed[:5]:
            change = next(i for i in range(1, len(events)) if events[i][1] != events[i - 1][1])
            record.say(f"a stream holds {change} events of {events[0][1]} and then {len(events) - change} of {events[change][1]}; "
                       f"client attempts: {tries}")
        record.say(f"{len(streams.streams)} streams, {len(complete)} with all events once and in order, {len(mixed)} with events of "
                   f"both software versions (two are allowed)")
        # At machines in touch: those that have run for contactMs.
        late = [one for one in streams.attempts if one[0] > restarted + BOUNDS["contactMs"] / 1000 + 0.2]
        taken_up, fresh = [got for _, had, got in late if had], [got for _, had, got in late if not had]
        gone_on, begun = sum(got > 0 for got in taken_up), sum(got > 0 for got in fresh)
        record.say(f"at machines in touch, {gone_on} of {len(taken_up)} streams that were taken up again went on, and {begun} of "
                   f"{len(fresh)} new ones began")
        if STAY:
            return len(taken_up) >= 12 and gone_on / len(taken_up) < begun / len(fresh) / 2
        return len(mixed) > 2
    finally:
        await deployment.end()


main(Path(__file__).resolve().parent, case)
