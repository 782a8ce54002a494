"""A version of the configuration allows longer headers, and consumers use them."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib3"))
# pylint: disable=wrong-import-position
from mesh import CannotRun, config, has_trouble, route, run_case

CONFIG_APPLY_S = 2.5
CONTACT_S = 4.0
ROUNDS = 20
# The configuration allows 128 KiB; the consumers send 72 KiB.
ALLOWED_BYTES = 131072
COOKIES = 9
COOKIE_BYTES = 8192


async def case(mesh):
    routes = [route("read", "idempotent", "desk"),
              route("other", "idempotent", "store")]
    await mesh.begin(config(3, routes, ["desk", "store"]), [
        ("desk", "north", "west", "v1"), ("desk", "south", "west", "v1"),
        ("store", "north", "west", "v1"), ("store", "south", "west", "v1")])
    await mesh.store.put("config", config(
        7, routes, ["desk", "store"], {"max_header_bytes": ALLOWED_BYTES}))
    await asyncio.sleep(CONFIG_APPLY_S + CONTACT_S)
    fields = [(f"X-Note-{number}", "n" * COOKIE_BYTES) for number in range(COOKIES)]
    statuses = {}
    for _ in range(ROUNDS):
        for node in mesh.nodes:
            for target in ("/read/1", "/other/1"):
                _, answer = await mesh.request(
                    node, "GET", target, more=fields if has_trouble() else ())
                status = answer.status if answer else 0
                statuses[status] = statuses.get(status, 0) + 1
    sent = sum(statuses.values())
    denied = sum(count for status, count in statuses.items()
                 if 300 <= status < 500 and status not in (408, 421, 429))
    allowed = 5 + sent / 500
    mesh.record.say(f"{sent} proper requests, statuses {statuses}: {denied} denied, "
                    f"{allowed:.1f} allowed")
    if not statuses.get(200):
        raise CannotRun("nothing was served")
    return denied <= allowed


sys.exit(run_case(FOLDER, case))
