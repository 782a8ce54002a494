"""A rollout of logview whose new version turns bad, and the check of
EXPOSURE on it."""

import asyncio
import json
import random
import time

from meshkit import BOUNDS, read_body

SERVICE = "logview"
DURATION_S = 16.0
BAD_SHARE = 0.5


class Trial:
    """What backends of the service saw, and what the operator reads."""

    def __init__(self, record, mesh, bad_after_s):
        self.record = record
        self.mesh = mesh
        self.bad_after_s = bad_after_s
        self.ordered = None
        self.sent = {}
        self.arrivals = []
        self.bad = []
        self.end = None
        self.tasks = []

    def since(self):
        return time.monotonic() - self.ordered

    async def behave(self, backend, head, reader, writer):
        """A backend's run; the new version fails half of them from
        bad_after_s after the order on."""
        await read_body(reader, head)
        backend.ran(head)
        self.arrivals.append((time.monotonic(), backend.version, head.get("x-attempt-id")))
        await asyncio.sleep(0.02)
        fails = (backend.version == "v2" and self.since() >= self.bad_after_s
                 and random.random() < BAD_SHARE)
        if fails:
            self.bad.append(time.monotonic())
            self.record.line("backend %s fails %s" % (backend.id, head.get("x-attempt-id")))
        backend.reply(writer, head, 500 if fails else 200, b"answer")
        return True

    def order(self):
        self.ordered = time.monotonic()
        self.mesh.store.operator("rollout/" + SERVICE, {
            "backend_service": SERVICE, "target_version": "v2", "duration_s": DURATION_S})
        self.record.line("the operator orders logview v2 within %g s" % DURATION_S)

    async def operate(self, old, new):
        """Reads the status; at completed the old backends stop at once, at
        rolled_back the new ones drain 3 s later."""
        while self.end is None:
            for key, (value, _) in self.mesh.store.newest("keyed.status").items():
                state = json.loads(value)["state"]
                if state != "running":
                    self.end = (state, self.since())
            await asyncio.sleep(0.02)
        self.record.line("status/rollout/logview: %s at %.2f s" % self.end)
        if self.end[0] == "completed":
            for node in old:
                node.backend.stop()
        else:
            await asyncio.sleep(3)
            for node in new:
                node.backend.state = "draining"
                await node.beat()

    async def consume(self, node, paths, per_s, until_s):
        """Consumers of one machine; they send only while it is ready."""
        while self.since() < until_s:
            ident = self.mesh.attempt_id()
            self.sent[ident] = time.monotonic()
            self.tasks.append(asyncio.ensure_future(self.mesh.request(
                node, "GET", random.choice(paths), 2000, ident=ident)))
            await asyncio.sleep(1 / per_s)

    def breaches(self):
        """EXPOSURE as written, with expose_share, canary_slack, rollback_s."""
        found = []
        in_time = [v for t, v, _ in self.arrivals if t <= self.ordered + DURATION_S]
        got = in_time.count("v2")
        most = BOUNDS["expose_share"] * len(in_time) + BOUNDS["canary_slack"]
        self.record.line("up to the time limit v2 got %d of %d requests, allowed are %.0f"
                         % (got, len(in_time), most))
        if got > most:
            found.append("v2 got %d of %d requests up to the time limit, allowed are %.0f"
                         % (got, len(in_time), most))
        self.record.line("%d requests were accepted, run by v2 and failed" % len(self.bad))
        if len(self.bad) >= 50:
            fiftieth = sorted(self.bad)[49]
            last = fiftieth + BOUNDS["rollback_s"]
            late = [i for _, v, i in self.arrivals if v == "v2" and self.sent[i] > last]
            self.record.line("50th bad answer of v2 at %.2f s, %d requests sent over %g s later "
                             "reached v2" % (fiftieth - self.ordered, len(late),
                                             BOUNDS["rollback_s"]))
            if late:
                found.append("%d requests sent over %g s after the 50th bad answer reached v2"
                             % (len(late), BOUNDS["rollback_s"]))
        return found
