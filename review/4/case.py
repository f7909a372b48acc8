"""A tenant with a blank in its name is added, and later a key of another tenant is withdrawn."""

import asyncio
import random
import sys
from pathlib import Path

sys.dont_write_bytecode = True
sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import BOUNDS, HOST, KEY, TENANT, Deployment, config, main, send_request, trouble  # noqa: E402

FRONTS, SERVERS, PER_S, SECONDS = 3, 2, 30, 24.0
ADDED_AT, WITHDRAWN_AT = 6.0, 12.0
SECOND_KEY, NEW_KEY = "second-key-of-north", "key-of-the-desk"


def tenant(name, keys):
    return {"name": name, "apiKeys": keys, "unit": "tokens", "plainTokens": 200, "ratePerS": 400000, "burst": 400000}


async def case(record):
    name = "north desk" if trouble() else "north-desk"
    deployment = Deployment(record, fronts=FRONTS, servers=SERVERS)
    try:
        await deployment.start()
        put = lambda version, tenants: deployment.store.put("config", "main", config(version, {"tenants": tenants}))
        put(8, [tenant(TENANT, [KEY, SECOND_KEY])])
        await asyncio.sleep(3.0)
        sent = {}
        started = record.now()

        async def one(key):
            front = random.choice(deployment.fronts)
            request = f"{random.getrandbits(64):016x}"
            headers = [("Host", HOST), ("Bluebellstage-Request-Id", request), ("Bluebellstage-Deadline-Ms", "1500"),
                       ("Authorization", f"Token {key}")]
            at = record.now()
            answer = await send_request(front.address("front"), "POST", "/submit/2f", headers, b"plan", 1.5)
            status = answer[0] if isinstance(answer, tuple) else answer
            record.line(f"caller sent {request} with {key} at {at:.3f} to {front.name}, and gets {status}")
            sent[request] = (at, key, status)

        acknowledged, tasks = {}, []
        while record.now() - started < SECONDS:
            if "added" not in acknowledged and record.now() - started > ADDED_AT:
                put(11, [tenant(TENANT, [KEY, SECOND_KEY]), tenant(name, [NEW_KEY])])
                acknowledged["added"] = record.now()
                record.say(f"the store acknowledges version 11 with the new tenant {name!r}, at {record.now():.3f}")
            if "withdrawn" not in acknowledged and record.now() - started > WITHDRAWN_AT:
                put(15, [tenant(TENANT, [KEY]), tenant(name, [NEW_KEY])])
                acknowledged["withdrawn"] = record.now()
                record.say(f"the store acknowledges version 15 without a key of {TENANT!r}, at {record.now():.3f}")
            tasks.append(asyncio.create_task(one(random.choice([KEY, SECOND_KEY, NEW_KEY]))))
            await asyncio.sleep(random.expovariate(PER_S))
        await asyncio.wait(tasks, timeout=3)
        ran = {request for server in deployment.servers for _, request in server.runs}
        bound = BOUNDS["configApplyMs"] / 1000
        refused = [r for r, (at, key, status) in sent.items()
                   if key == NEW_KEY and at > acknowledged["added"] + bound and status == 401]
        wanted = [r for r, (at, key, _) in sent.items() if key == NEW_KEY and at > acknowledged["added"] + bound]
        stale = [r for r, (at, key, _) in sent.items()
                 if key == SECOND_KEY and at > acknowledged["withdrawn"] + bound and r in ran]
        dropped = [r for r, (at, key, _) in sent.items() if key == SECOND_KEY and at > acknowledged["withdrawn"] + bound]
        others = [status for _, key, status in sent.values() if key == KEY]
        record.say(f"later than configApplyMs after version 11, {len(refused)} of {len(wanted)} requests with the key of the new "
                   f"tenant got 401")
        record.say(f"later than configApplyMs after version 15, {len(stale)} of {len(dropped)} unsafe requests with the withdrawn "
                   f"key ran")
        record.say(f"{others.count(200)} of {len(others)} requests with the other key were answered with 200")
        return bool(refused or stale)
    finally:
        await deployment.end()


main(Path(__file__).resolve().parent, case)
