"""A node is stopped as planned, with a grace time of three seconds."""

import os
import signal
import socket
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))

from mesh import BOUNDS, Mesh, call, run_case  # noqa: E402

GRACE_S = float(os.environ.get("GRACE_S", "3"))
WORK_S = 0.1
CONSUMERS = 40
# Lines of the result; record.txt lists all.
SHOWN = 5


def case(record, trouble):
    mesh = Mesh(
        record,
        [("write", "non_idempotent", "desk", 2.0)],
        BOUNDS.replace("grace_s=6", f"grace_s={GRACE_S:g}"),
    )
    record.write(f"grace_s is {GRACE_S:g}")
    lock = threading.Lock()
    unanswered = []
    stopping = threading.Event()

    def consume(machine, place):
        stream = None
        number = 0
        # Spreads the requests evenly over the work time.
        time.sleep(WORK_S * place / CONSUMERS)
        while not stopping.is_set():
            number += 1
            attempt = f"{machine.name}-{place}-{number}"
            sent = None
            try:
                if stream is None:
                    stream = socket.create_connection(machine.outbound, 1)
                sent = time.monotonic()
                status, fields, _ = call(
                    machine.outbound,
                    "POST",
                    "/write/1",
                    [("X-Attempt-Id", attempt), ("X-Deadline-Ms", "2000")],
                    b"order",
                    timeout=4,
                    stream=stream,
                )
                if status != 200:
                    record.write(f"{attempt} is answered {status}")
                if dict(fields).get("connection", "").lower() == "close":
                    stream.close()
                    stream = None
            except OSError as error:
                if sent is not None:
                    record.write(f"{attempt} gets no answer: {error}")
                    with lock:
                        unanswered.append((attempt, sent, time.monotonic()))
                if stream is not None:
                    stream.close()
                stream = None
                time.sleep(0.2)

    try:
        mesh.configure(1)
        machines = mesh.add(
            [
                ("desk-1", "desk", "north", WORK_S),
                ("desk-2", "desk", "north", WORK_S),
                ("desk-3", "desk", "south", WORK_S),
            ]
        )
        mesh.wait_ready()
        time.sleep(3)
        stopped = machines[0]
        for place in range(CONSUMERS):
            threading.Thread(target=consume, args=(stopped, place), daemon=True).start()
        time.sleep(3)
        terminated = time.monotonic()
        if trouble:
            stopped.kill(signal.SIGTERM)
            stopped.wait(GRACE_S + 2)
            record.write(
                f"{stopped.name} ended {time.monotonic() - terminated:.2f} s after "
                f"SIGTERM with {stopped.process.returncode}"
            )
        else:
            time.sleep(GRACE_S)
        time.sleep(1)
        stopping.set()
        time.sleep(1)
        ran = {
            attempt: at
            for machine in machines
            for at, attempt, _, _, _ in machine.backend.runs
        }
        broken = []
        for attempt, sent, ended in unanswered:
            if attempt not in ran or ended > terminated + GRACE_S + 1:
                continue
            # Not counted: still at work in the last sixth of the grace time.
            done = ran[attempt] + WORK_S - terminated
            if done >= GRACE_S * 5 / 6:
                record.write(f"{attempt} is excused: its work ends at {done:.2f} s")
                continue
            broken.append(
                f"{attempt}, sent {sent - terminated:.2f} s after SIGTERM and run, "
                f"lost its connection at {ended - terminated:.2f} s; its backend was "
                f"done at {done:.2f} s"
            )
        for line in broken[SHOWN:]:
            record.write("also: " + line)
        if len(broken) > SHOWN:
            broken = broken[:SHOWN] + [f"and {len(broken) - SHOWN} more requests"]
        return broken
    finally:
        mesh.close()


run_case(case, os.path.join(HERE, "record.txt"))
