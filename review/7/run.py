"""The configuration grows by many routes of one service before a rollout of
it. The new version turns bad late."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib2"))

from meshkit import BOUNDS, config, main, route  # noqa: E402
from rollout import SERVICE, Trial  # noqa: E402

FIRST_ROUTES = 4
ADDED_ROUTES = 300
BAD_AFTER_S = 9.9
END_S = 24.0
PER_S = 60.0


def routes(count):
    return [route("log-fetch-of-package-%04d" % i, "idempotent", "/package-%04d/" % i, SERVICE)
            for i in range(count)]


async def case(record, mesh, trouble):
    await mesh.start_store()
    trial = Trial(record, mesh, BAD_AFTER_S)
    services = [SERVICE, "artifactd"]
    old = [await mesh.add(SERVICE, behave=trial.behave) for _ in range(2)]
    entries = [await mesh.add("artifactd") for _ in range(2)]
    new = [await mesh.add(SERVICE, version="v2", behave=trial.behave) for _ in range(2)]
    mesh.nodes = old + entries
    mesh.store.operator("config", config(1, routes(FIRST_ROUTES), services))
    await mesh.start()
    count = FIRST_ROUTES
    if trouble:
        count += ADDED_ROUTES
        record.line("the configuration grows by %d routes" % ADDED_ROUTES)
        mesh.store.operator("config", config(2, routes(count), services))
    await asyncio.sleep(BOUNDS["config_apply_s"])
    paths = ["/package-%04d/1" % i for i in range(count)]
    trial.order()
    mesh.nodes = old + entries + new
    for node in new:
        await node.start()
        mesh.tasks.append(asyncio.ensure_future(mesh.beats(node)))
    mesh.tasks.append(asyncio.ensure_future(trial.operate(old, new)))
    loads = [asyncio.ensure_future(trial.consume(n, paths, PER_S, END_S)) for n in entries]
    await mesh.wait_ready(new)
    loads += [asyncio.ensure_future(trial.consume(n, paths, PER_S, END_S)) for n in new]
    await asyncio.gather(*loads)
    await asyncio.gather(*trial.tasks)
    for second in range(0, int(END_S), 2):
        begin = trial.ordered + second
        seen = [v for t, v, _ in trial.arrivals if begin <= t < begin + 2]
        record.line("%2d s to %2d s after the order: %d requests reach v1, %d reach v2" % (
            second, second + 2, seen.count("v1"), seen.count("v2")))
    return trial.breaches()


if __name__ == "__main__":
    main(case, os.path.join(HERE, "record.txt"), os.environ.get("TROUBLE", "1") != "0")
