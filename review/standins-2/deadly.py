"""A request that crashes each server that begins to run it, as the news pages describe it."""

import asyncio
import time

import harness as h

SERVERS = 3
INSTANCES = 2
WORK_S = 0.03
BACK_IN_S = 2.5
ROUND_S = 4.5
CONTACT_S = 3.0
DEADLY = "/file/deadly"
ALLOWED = 3
PER_S = 60


class Registry(h.Server):
    """A plain server. One request crashes it while it works on it; it is back after some seconds."""

    crashes = []
    arrivals = []
    begun = {}

    async def run(self, request, reader, writer, headers):
        request_id = request.header("bluebellstage-request-id")
        is_deadly = request.target == DEADLY
        if is_deadly:
            Registry.arrivals.append(time.monotonic())
            self.record(f"server {self.id} begins to run the deadly request {request_id}")
        else:
            Registry.begun[request_id] = time.monotonic()
        await asyncio.sleep(WORK_S)
        if is_deadly and h.TROUBLE:
            if self.listener is not None:
                Registry.crashes.append(time.monotonic())
            self.crash(BACK_IN_S)
            return None
        return h.response(200, b"filed", headers + [("Bluebellstage-Response-Stamp", f"stamp-{request_id}")])


async def ask(record, address, path):
    request_id = h.new_id()
    try:
        status, _headers, _body = await h.call(address, "POST", path, h.request_headers(request_id), b"a claim")
    except (OSError, EOFError, asyncio.TimeoutError) as err:
        status = type(err).__name__
    if path == DEADLY:
        record(f"client: the deadly request {request_id} gets {status}")
    elif status != 200:
        record(f"client: the ordinary request {request_id} gets {status}")
    return request_id, status


async def ordinary(record, address, got):
    """Sends ordinary requests, which a server may be running when it ends."""
    tasks = set()
    number = 0
    while True:
        number += 1
        task = asyncio.create_task(ask(record, address, f"/file/{number}"))
        tasks.add(task)
        task.add_done_callback(lambda done: (tasks.discard(done), got.append(done.result())))
        await asyncio.sleep(INSTANCES / PER_S)


async def play(record, temporary, instances, copies, rounds, said_by_servers=()):
    """Lets the request come `copies` times at once in each round. Returns what is broken, if anything is."""
    store = h.Store()
    await store.start()
    routes = [h.route("file", "unsafe", "registry", attempts=1)]
    await store.put("config", "main", h.configuration(routes, [h.plain_service("registry")]))
    for number in range(SERVERS):
        server = Registry(store, record, f"i-{number}", "registry", slots=6)
        server.extra_headers = list(said_by_servers)
        await server.start()
    for number in range(INSTANCES):
        instance = h.Instance(record, temporary, f"front-{number}", store)
        instances.append(instance)
        await instance.start()
    for instance in instances:
        await instance.until_ready()
    await asyncio.sleep(4)
    got = []
    tasks = [asyncio.create_task(ordinary(record, instance.front, got)) for instance in instances]
    await asyncio.sleep(4)
    for number in range(rounds):
        record(f"round {number + 1}: the request comes, {copies} at once")
        await asyncio.gather(*(ask(record, instances[(number + copy) % INSTANCES].front, DEADLY)
                               for copy in range(copies)))
        await asyncio.sleep(ROUND_S)
    for task in tasks:
        task.cancel()
    statuses = [status for _, status in got]
    record(f"ordinary requests: {statuses.count(200)} of {len(statuses)} served")
    record(f"crashes: {len(Registry.crashes)}; arrivals of the request: {len(Registry.arrivals)}")
    if statuses.count(200) < len(statuses) / 4:
        raise RuntimeError("little was served")
    if len(Registry.crashes) < 3:
        return None
    bound = sorted(Registry.crashes)[2] + CONTACT_S
    late = [at for at in Registry.arrivals if at > bound]
    lost = [Registry.begun[request_id] for request_id, status in got
            if status != 200 and request_id in Registry.begun]
    record(f"ordinary requests that a server had begun to run and that have no answer of it: {len(lost)}, "
           f"{sum(at > bound for at in lost)} of them begun later than contactMs after the third crash")
    record(f"arrivals later than contactMs after the third crash: {len(late)}, allowed are {ALLOWED}")
    if len(late) <= ALLOWED:
        return None
    return f"{len(late)} arrivals later than contactMs after the third crash, allowed are {ALLOWED}"
