"""A consumer sends the header X-Caller-Service twice."""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))

from mesh import Mesh, call, run_case  # noqa: E402


def case(record, trouble):
    mesh = Mesh(record, [("write", "non_idempotent", "desk", 2.0)])
    sent = {}
    try:
        mesh.configure(1)
        machines = mesh.add(
            [
                ("desk-1", "desk", "north", 0.02),
                ("desk-2", "desk", "south", 0.02),
                ("store-1", "store", "south", 0.02),
            ]
        )
        mesh.wait_ready()
        time.sleep(2)
        for number, machine in enumerate(machines):
            attempt = f"write-{number}"
            sent[attempt] = machine.backend.service
            headers = [("X-Attempt-Id", attempt), ("X-Deadline-Ms", "2000")]
            headers += [("X-Caller-Service", "payroll")] * (2 if trouble else 1)
            record.write(f"a consumer at {machine.name} sends POST /write/1 {headers}")
            status, _, _ = call(machine.outbound, "POST", "/write/1", headers, b"order")
            record.write(f"{attempt} is answered {status}")
        broken = []
        for machine in machines:
            for _, attempt, _, headers, _ in machine.backend.runs:
                callers = [v for name, v in headers if name == "x-caller-service"]
                record.write(f"{attempt} ran with X-Caller-Service {callers}")
                if any(caller != sent[attempt] for caller in callers):
                    broken.append(
                        f"{machine.backend.instance} ran {attempt} with "
                        f"X-Caller-Service {callers}; it began at a machine of "
                        f"{sent[attempt]!r}"
                    )
        return broken
    finally:
        mesh.close()


run_case(case, os.path.join(HERE, "record.txt"))
