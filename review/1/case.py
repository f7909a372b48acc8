"""A machine loses its links to all servers while they are brittle, and some of the servers' answers are lost."""

import asyncio
import os
import sys
from pathlib import Path

sys.dont_write_bytecode = True
sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import ZONES, Callers, Deployment, main, trouble  # noqa: E402

# Eight machines as on the sheet, and two plain servers. The machines of a zone are cut off from all servers for 5 s, ten
# times. One of the servers (share 0.5) loses the answers to 0.4 of the requests that it ran, for 4 s each time.
FRONTS, SERVERS, CUT_S, LOST_S, GAP_S, ROUNDS, LOST_SHARE = 8, 2, 5.0, 4.0, 7.5, 10, 0.4


async def play(record, cuts, loses):
    """Plays one deployment. Returns its unsafe requests, how many ran, which ran twice, and how many were refused though they
    ran."""
    deployment = Deployment(record, fronts=FRONTS, servers=0, own_paths=True)
    try:
        await deployment.store.start()
        for number in range(SERVERS):
            server = await deployment.add_server(number)
            server.counts_beats = False
            server.headers = [("Server-Brittle", "5")]
        await deployment.start()
        callers = Callers(record, deployment, per_s=80)
        traffic = asyncio.create_task(callers.run(5 + ROUNDS * GAP_S))
        await asyncio.sleep(6)
        for number in range(ROUNDS):
            zone = ZONES[number % 3]
            links = [link for front in deployment.fronts if front.zone == zone for link in deployment.links[front.name]]
            if cuts:
                record.line(f"the machines of {zone} are cut off from all servers")
                for link in links:
                    link.cut()
            if loses:
                deployment.servers[number % SERVERS].lost_share = LOST_SHARE
            await asyncio.sleep(LOST_S)
            for server in deployment.servers:
                server.lost_share = 0.0
            await asyncio.sleep(CUT_S - LOST_S)
            if cuts:
                for link in links:
                    await link.heal()
                record.line(f"the machines of {zone} reach the servers again")
            await asyncio.sleep(GAP_S - CUT_S)
        await traffic
        runs = {}
        for server in deployment.servers:
            for at, request in server.runs:
                runs.setdefault(request, []).append((at, server.number))
        unsafe = [request for request, (_, kind, _) in callers.sent.items() if kind == "unsafe"]
        twice = [request for request in unsafe if len(runs.get(request, [])) > 1]
        refused = [request for request in unsafe if request in runs
                   and isinstance(callers.answers.get(request, (0, ""))[1], tuple)
                   and callers.answers[request][1][0] in (408, 421, 429, 503)]
        for request in twice[:5]:
            _, answer = callers.answers[request]
            record.say(f"{request}, sent to {callers.sent[request][2]}, ran {len(runs[request])} times: "
                       f"{sorted((round(at, 3), number) for at, number in runs[request])}; its caller got "
                       f"{answer[0] if isinstance(answer, tuple) else answer}")
        record.say(f"{len(unsafe)} unsafe requests, {sum(request in runs for request in unsafe)} ran, {len(twice)} of them more "
                   f"than once; {len(refused)} ran and were refused as not run")
        return bool(twice)
    finally:
        await deployment.end()


async def case(record):
    cuts = trouble() and os.environ.get("CUT", "1") != "0"
    loses = trouble() and os.environ.get("LOST", "1") != "0"
    # Two deployments side by side: which machine owns a server follows from their names, which are drawn.
    return any(await asyncio.gather(play(record, cuts, loses), play(record, cuts, loses)))


main(Path(__file__).resolve().parent, case)
