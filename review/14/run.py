"""A version of the configuration moves one route and splits another."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib3"))
# pylint: disable=wrong-import-position
from mesh import CannotRun, config, has_trouble, route, run_case

CONFIG_APPLY_S = 2.5
CONTACT_S = 4.0
ROUNDS = 10
# One request in two hundred goes to the other part. TROUBLE=0 writes the same
# proportion in whole numbers.
WEIGHTS = (99.5, 0.5) if has_trouble() else (199, 1)


async def read_everywhere(mesh):
    """Returns the services that ran a request sent to each node, and the statuses
    of the requests on the route that was added."""
    ran, added = [], []
    for node in mesh.nodes:
        attempt, answer = await mesh.request(node, "GET", "/read/1")
        if answer is None or answer.status != 200:
            raise CannotRun(f"{attempt} wasn't served")
        ran += [where.split("-")[1] for where, _ in mesh.runs_of(attempt)]
        _, answer = await mesh.request(node, "GET", "/added/1")
        added.append(answer.status if answer else 0)
    return ran, added


async def case(mesh):
    routes = [route("read", "idempotent", "desk")]
    await mesh.begin(config(3, routes, ["desk", "store"]), [
        ("desk", "north", "west", "v1"), ("desk", "south", "west", "v1"),
        ("store", "north", "west", "v1"), ("store", "south", "west", "v1")])
    ran, _ = await read_everywhere(mesh)
    if set(ran) != {"desk"}:
        raise CannotRun("the first configuration isn't in force")
    # All machines are in touch from here on: they run, and the store is calm.
    await asyncio.sleep(CONTACT_S)

    split = route("split", "idempotent", "store")
    del split["action"]["backend_service"]
    split["action"]["traffic_split"] = [
        {"backend_service": name, "weight": weight}
        for name, weight in zip(("store", "desk"), WEIGHTS)]
    moved = [route("read", "idempotent", "store"),
             route("added", "idempotent", "store"), split]
    await mesh.store.put("config", config(7, moved, ["desk", "store"]))
    mesh.record.write("acknowledged r7")
    await asyncio.sleep(CONFIG_APPLY_S + 0.5)
    old, missing, all_sent = 0, 0, 0
    for _ in range(ROUNDS):
        ran, added = await read_everywhere(mesh)
        all_sent += len(added)
        old += ran.count("desk")
        missing += added.count(404)
        await asyncio.sleep(0.5)
    mesh.record.say(f"later than {CONFIG_APPLY_S} s after the acknowledgement of r7, "
                    f"{old} of {all_sent} requests were run by the old service and "
                    f"{missing} of {all_sent} refused with 404 on the added route")
    return old == 0 and missing == 0


sys.exit(run_case(FOLDER, case))
