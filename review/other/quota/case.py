"""One request of a tenant names a very high number of output tokens."""

import asyncio
import os
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "standins-2"))
import harness as h

RATE = 94030
BURST = 94030
PLAIN = 200
WINDOW_S = 8
ALLOWED = (RATE * WINDOW_S + BURST) * 1.1 + 17000
COUNTS = "826,2147483647" if h.TROUBLE else "826,290"
AFTER_S = 45


class Registry(h.Server):
    """A plain server."""

    tokens = []

    async def run(self, request, reader, writer, headers):
        request_id = request.header("bluebellstage-request-id")
        counts = request.header("bluebellstage-token-counts")
        tokens = sum(int(count) for count in counts.split(",")) if counts else PLAIN
        Registry.tokens.append((h.time.monotonic(), tokens))
        self.record(f"server {self.id} runs {request_id}: {tokens} tokens")
        await asyncio.sleep(0.015)
        return h.response(200, b"a file", headers + [("Bluebellstage-Response-Stamp", f"stamp-{request_id}")])


async def ask(record, instance, more=()):
    request_id = h.new_id()
    headers = h.request_headers(request_id, 1500, more)
    try:
        status, answered, body = await h.call(instance.front, "GET", "/look/1", headers)
    except (OSError, EOFError, asyncio.TimeoutError) as err:
        record(f"client: {request_id} at {instance.name} ends with {type(err).__name__}")
        return None
    text = "" if status == 200 else f", Retry-After {answered.get('retry-after')}, body {body!r}"
    record(f"client: {request_id} at {instance.name} gets {status}{text}")
    return status


async def case(record, temporary, instances):
    store = h.Store()
    await store.start()
    routes = [h.route("look", "safe", "registry")]
    await store.put("config", "main", h.configuration(routes, [h.plain_service("registry")]))
    for number in range(3):
        await Registry(store, record, f"i-{number}", "registry", slots=6).start()
    for number in range(2):
        instance = h.Instance(record, temporary, f"front-{number}", store)
        instances.append(instance)
        await instance.start()
    for instance in instances:
        await instance.until_ready()
    await asyncio.sleep(5)
    for _ in range(3):
        for instance in instances:
            if await ask(record, instance) != 200:
                raise RuntimeError("an ordinary request is not served")
        await asyncio.sleep(0.5)
    status = await ask(record, instances[0], [("Bluebellstage-Token-Counts", COUNTS)])
    record(f"the request with the token counts {COUNTS} gets {status}")
    after = {instance.name: [] for instance in instances}
    for _ in range(AFTER_S):
        await asyncio.sleep(1)
        for instance in instances:
            after[instance.name].append(await ask(record, instance))
    for name, statuses in after.items():
        record(f"ordinary requests of the tenant at {name} in the {AFTER_S} s after it: "
               f"{statuses.count(200)} served, {statuses.count(429)} refused with 429, of {len(statuses)}")
    most = 0
    for begin, _ in Registry.tokens:
        most = max(most, sum(tokens for at, tokens in Registry.tokens if begin <= at < begin + WINDOW_S))
    record(f"most tokens run in {WINDOW_S} s: {most}, allowed are {ALLOWED:.0f}")
    if most <= ALLOWED:
        return None
    refused = sum(statuses.count(429) for statuses in after.values())
    return f"{most} tokens in {WINDOW_S} s, allowed are {ALLOWED:.0f}; then {refused} ordinary requests refused"


h.run_case(os.path.dirname(os.path.abspath(__file__)), case)
