"""A zone with three machines is lost during a rollout, for good. They are the
three that judge the new version, which turns bad just then."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib2"))

from meshkit import Backend, Node, config, main, route  # noqa: E402
from rollout import SERVICE, Trial  # noqa: E402

LOSS_S = 9.6
BAD_AFTER_S = 9.9
END_S = 24.0
PER_S = 40.0
MASK = (1 << 64) - 1


def fnv1a(text, value=0xcbf29ce484222325):
    for byte in text.encode():
        value = ((value ^ byte) * 0x100000001b3) & MASK
    return value


def mix(value):
    value = ((value ^ (value >> 30)) * 0xbf58476d1ce4e5b9) & MASK
    value = ((value ^ (value >> 27)) * 0x94d049bb133111eb) & MASK
    return value ^ (value >> 31)


def judge_order(addresses):
    """The order in which the nodes take the duty, src/mesh/internal/NodeTable.cpp."""
    subject = mix(fnv1a("judge/" + SERVICE))
    return sorted(addresses, key=lambda ip: mix(fnv1a(ip, subject)))


async def case(record, mesh, trouble):
    await mesh.start_store()
    trial = Trial(record, mesh, BAD_AFTER_S)
    ips = judge_order([mesh.block + str(i) for i in range(1, 7)])

    async def add(ip, service, zone, version="v1", behave=None):
        backend = Backend(record, ip, service, version, behave=behave, zone=zone)
        await backend.start()
        return Node(mesh, ip, backend, zone)

    lost = [await add(ip, "artifactd", "poa-b") for ip in ips[:3]]
    old = await add(ips[3], SERVICE, "poa-a", "v1", trial.behave)
    entry = await add(ips[4], "artifactd", "poa-a")
    new = await add(ips[5], SERVICE, "poa-a", "v2", trial.behave)
    mesh.store.operator("config", config(
        1, [route("log-fetch", "idempotent", "/log/", SERVICE)], [SERVICE, "artifactd"]))
    mesh.nodes = lost + [old, entry]
    await mesh.start()
    trial.order()
    mesh.nodes.append(new)
    await new.start()
    mesh.tasks.append(asyncio.ensure_future(mesh.beats(new)))
    mesh.tasks.append(asyncio.ensure_future(trial.operate([old], [new])))
    loads = [asyncio.ensure_future(trial.consume(n, ["/log/1"], PER_S, END_S))
             for n in (entry, old)]
    await mesh.wait_ready([new])
    loads.append(asyncio.ensure_future(trial.consume(new, ["/log/1"], PER_S, END_S)))
    await asyncio.sleep(trial.ordered + LOSS_S - time.monotonic())
    if trouble:
        record.line("zone poa-b is lost")
        for node in lost:
            await node.kill()
    await asyncio.gather(*loads)
    await asyncio.gather(*trial.tasks)
    return trial.breaches()


if __name__ == "__main__":
    main(case, os.path.join(HERE, "record.txt"), os.environ.get("TROUBLE", "1") != "0")
