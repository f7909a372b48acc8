"""A holder is turned away by the store, and the machine that takes its place is killed right after it took it."""

import asyncio
import random
import signal
import sys
import time
from pathlib import Path

sys.dont_write_bytecode = True
sys.path.insert(0, str(Path(__file__).resolve().parents[2]))
from standins import (  # noqa: E402
    BOUNDS, HOST, KEY, MODEL, AdapterEngine, Deployment, main, send_stream, trouble)

# The store turns one machine of four away for 9 s, by resets; a process starts again 0.5 s after its kill.
AWAY_S, RESTART_S, ROUND_S, ROUNDS = 9.0, 0.5, 18.0, 4


async def caller(record, address):
    request = f"{random.getrandbits(64):016x}"
    headers = [("Host", HOST), ("Bluebellstage-Request-Id", request), ("Bluebellstage-Deadline-Ms", "15000"),
               ("Authorization", f"Token {KEY}"), ("Bluebellstage-Model", f"{MODEL}/a{random.randint(1, 3000)}"),
               ("Bluebellstage-Token-Counts", "628,30")]
    status, numbers, is_complete = await send_stream(address, headers, b"prompt", 15.0)
    record.line(f"caller of {request} at {address} gets {status}, {len(numbers)} events, complete: {is_complete}")


async def one_round(record, deployment, engines, store):
    """Turns the giver of the last order away, and kills the machine that takes over an object that it had written."""
    by_name = {front.name: front for front in deployment.fronts}
    orders = sorted(order for engine in engines for order in engine.orders)
    now = time.monotonic()
    givers = [by_name[holder] for _, holder, _ in reversed(orders)]
    readers = [front for front in givers if now - store.watched[store.callers[front.store_address]].get("servers", 0) < 2]
    away = (readers or givers)[0]
    caller_away = store.callers[away.store_address]
    its_objects = {target for _, caller, target in store.conditional if caller == caller_away}
    last = {target: caller for _, caller, target in store.conditional}
    its_objects = {target for target in its_objects if last[target] == caller_away}
    record.say(f"the store turns {away.name} away, which gave the last order")
    store.turn_away([away.store_address])
    began, seen, killed = time.monotonic(), len(store.conditional), None
    while time.monotonic() - began < AWAY_S:
        for _, caller, target in store.conditional[seen:]:
            if target in its_objects and caller != caller_away and killed is None:
                killed = next(front for front in deployment.fronts if store.callers[front.store_address] == caller)
                record.say(f"{killed.name} has written to {target} under a condition, and is killed")
                killed.signal(signal.SIGKILL)
                await killed.process.wait()
                await asyncio.sleep(RESTART_S)
                await killed.start()
        seen = len(store.conditional)
        await asyncio.sleep(0.005)
    store.turn_away([])
    record.say(f"the store serves {away.name} again")


def turns(engine):
    """Holders that take turns at an engine within leaseMs: (holder, next holder, time between their orders)."""
    found, last = [], None
    for at, holder, token in sorted(engine.orders):
        if last is not None and last[1] != holder and at - last[0] < BOUNDS["leaseMs"] / 1000:
            found.append((last[1], last[2], holder, token, at, at - last[0]))
        last = (at, holder, token)
    return found


async def case(record):
    deployment = Deployment(record, fronts=4, servers=1, own_links=True)
    try:
        await deployment.store.start()
        engines = [await deployment.add_engine(20 + number, kind=AdapterEngine) for number in range(9)]
        await deployment.start()
        tasks = []

        async def traffic():
            while True:
                front = random.choice(deployment.fronts)
                tasks.append(asyncio.create_task(caller(record, front.address("front"))))
                await asyncio.sleep(0.02)

        sending = asyncio.create_task(traffic())
        await asyncio.sleep(8.0)
        for _ in range(ROUNDS):
            began = time.monotonic()
            if trouble():
                await one_round(record, deployment, engines, deployment.store)
            await asyncio.sleep(ROUND_S - (time.monotonic() - began))
        sending.cancel()
        await asyncio.wait(tasks, timeout=5)
        broken = []
        for engine in engines:
            for holder, token, following, next_token, at, gap in turns(engine):
                record.say(f"engine {engine.number}: {holder} (token {token}) and {gap:.3f} s later {following} (token "
                           f"{next_token}) give orders, at {at:.3f}")
                broken.append(gap)
        record.say(f"{sum(len(engine.orders) for engine in engines)} orders; holders took turns within leaseMs "
                   f"{len(broken)} times")
        return bool(broken)
    finally:
        await deployment.end()


main(Path(__file__).resolve().parent, case)
