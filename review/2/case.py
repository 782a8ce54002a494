"""All nodes are killed right after a backend has left, and a check-in that it
had sent before arrives late."""

import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))

from mesh import Mesh, call, run_case  # noqa: E402

DRAIN_S = 2.5
CONTACT_S = 4.0
# From the acknowledgement of the DELETE.
KILL_AFTER_S = 0.3
RESTART_AFTER_S = 0.8
LATE_CHECK_IN_AFTER_S = 3.0
EXIT_AFTER_S = 12.0
# At each machine.
CONSUMERS = 6
# Lines of the result; record.txt lists all runs.
SHOWN = 5


def case(record, trouble):
    mesh = Mesh(
        record,
        [
            ("read", "idempotent", "desk", 1.2),
            ("write", "non_idempotent", "desk", 2.0),
        ],
    )
    answers = {}
    lock = threading.Lock()

    def consume(machine, place, until):
        """A consumer that sends up to ten requests a second, each on a
        connection of its own."""
        number = 0
        while time.monotonic() < until:
            number += 1
            attempt = f"{machine.name}-{place}-{number}"
            sent = time.monotonic()
            try:
                status, _, _ = call(
                    machine.outbound,
                    "POST",
                    "/write/1",
                    [("X-Attempt-Id", attempt), ("X-Deadline-Ms", "2000")],
                    b"order",
                    timeout=3,
                )
            except OSError as error:
                status = str(error)
            with lock:
                answers[attempt] = (sent, status)
            record.write(f"{attempt} is answered {status}")
            time.sleep(max(0.0, sent + 0.1 - time.monotonic()))

    try:
        mesh.configure(1)
        machines = mesh.add(
            [
                ("desk-1", "desk", "north", 0.3),
                ("desk-2", "desk", "north", 0.3),
                ("store-1", "store", "north", 0.3),
            ]
        )
        mesh.wait_ready()
        time.sleep(6)
        leaving = machines[0]
        # Written before the backend leaves, but delayed on its way.
        leaving.checks_in = False
        late = leaving.backend.check_in_body("ready")
        if leaving.leave() != 200:
            raise RuntimeError("the leave message was not acknowledged")
        acknowledged = time.monotonic()

        def pause_until(after):
            time.sleep(max(0.0, acknowledged + after - time.monotonic()))

        consumers = []
        if trouble:
            pause_until(KILL_AFTER_S)
            for machine in machines:
                machine.kill()
            for machine in machines:
                machine.wait()
            pause_until(RESTART_AFTER_S)
            for machine in machines:
                machine.start()
        restarted = time.monotonic()
        mesh.wait_ready()
        for machine in machines:
            for place in range(CONSUMERS):
                consumer = threading.Thread(
                    target=consume,
                    args=(machine, place, acknowledged + EXIT_AFTER_S),
                    daemon=True,
                )
                consumer.start()
                consumers.append(consumer)
        pause_until(LATE_CHECK_IN_AFTER_S)
        leaving.check_in(late, quiet=False)
        pause_until(EXIT_AFTER_S)
        for consumer in consumers:
            consumer.join(4)
        # In touch: no kill and no start within contact_s before.
        since = max(acknowledged + DRAIN_S, restarted + CONTACT_S + 0.2)
        broken = []
        for at, attempt, line, _, _ in leaving.backend.runs:
            sent, status = answers.get(attempt, (at, "no answer yet"))
            if min(at, sent) > since:
                broken.append(
                    f"{attempt} ({line}) reached {leaving.backend.instance} "
                    f"{at - acknowledged:.2f} s after its leaving was acknowledged "
                    f"and {at - restarted:.2f} s after the last start of a node; "
                    f"answered {status}"
                )
        if len(broken) > SHOWN:
            broken = broken[:SHOWN] + [f"and {len(broken) - SHOWN} more requests"]
        return broken
    finally:
        mesh.close()


run_case(case, os.path.join(HERE, "record.txt"))
