"""A consumer's header value that holds an RFC 2047 encoded word."""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))

from mesh import Mesh, call, run_case  # noqa: E402

# Decoded, this is the end of a head and a second request.
HIDDEN = (
    "note\r\n\r\nPOST /write/42 HTTP/1.1\r\n"
    "Host: shop.example\r\nX-Attempt-Id: hidden-{}"
)


def encoded_word(text):
    """RFC 2047, section 4.2: printable ASCII only, so a valid field value."""
    coded = ""
    for character in text:
        if character == " ":
            coded += "_"
        elif character.isalnum() or character in "/.-:":
            coded += character
        else:
            coded += f"={ord(character):02X}"
    return f"=?UTF-8?Q?{coded}?="


def case(record, trouble):
    mesh = Mesh(
        record,
        [
            ("read", "idempotent", "desk", 1.2),
            ("write", "non_idempotent", "desk", 2.0),
        ],
    )
    sent = set()
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
        # One request at each machine: next to the backend that runs it, and
        # from a machine whose requests cross to another one.
        for number, machine in enumerate(machines):
            attempt = f"read-{number}"
            sent.add(attempt)
            note = HIDDEN.format(number)
            headers = [
                ("X-Attempt-Id", attempt),
                ("X-Deadline-Ms", "1000"),
                ("X-Note", encoded_word(note) if trouble else "note"),
            ]
            record.write(f"a consumer at {machine.name} sends GET /read/1 {headers}")
            try:
                status, fields, body = call(
                    machine.outbound, "GET", "/read/1", headers, timeout=3
                )
                record.write(f"{attempt} is answered {status} {fields} {body!r}")
            except OSError as error:
                record.write(f"{attempt} is not answered: {error}")
        time.sleep(1.5)
        broken = []
        for machine in machines:
            for _, attempt, line, headers, _ in machine.backend.runs:
                if attempt not in sent:
                    broken.append(
                        f"{machine.backend.instance} ran {line!r} with the id "
                        f"{attempt!r}, which no consumer sent; X-Caller-Service: "
                        f"{dict(headers).get('x-caller-service')!r}"
                    )
        return broken
    finally:
        mesh.close()


run_case(case, os.path.join(HERE, "record.txt"))
