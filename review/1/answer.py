"""A backend's answer with a header that holds an RFC 2047 encoded word."""

import os
import socket
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))

from mesh import HOST, Mesh, run_case, sealed_answer  # noqa: E402

# "Delivery delayed." and "Please call back." as two paragraphs.
NOTE = "=?UTF-8?Q?Delivery_delayed.=0D=0A=0D=0APlease_call_back.?="
PLAIN_NOTE = "Delivery delayed. Please call back."
BODY = b"3 tankards"


def read_answer(stream):
    """Reads one answer up to the end of the connection, as RFC 9112 tells.

    Returns (status, headers, body, rest).
    """
    data = b""
    while True:
        part = stream.recv(65536)
        if not part:
            break
        data += part
    head, rest = data.split(b"\r\n\r\n", 1)
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, value = line.split(":", 1)
        fields[name.strip().lower()] = value.strip()
    body = rest
    if "content-length" in fields:
        size = int(fields["content-length"])
        body, rest = rest[:size], rest[size:]
        return int(lines[0].split(" ")[1]), fields, body, rest
    return int(lines[0].split(" ")[1]), fields, body, b""


def case(record, trouble):
    mesh = Mesh(record, [("read", "idempotent", "desk", 1.2)])
    broken = []

    def answer(stream, line, headers, body):
        attempt = dict(headers).get("x-attempt-id", "")
        more = f"X-Note: {NOTE if trouble else PLAIN_NOTE}\r\n"
        sent = sealed_answer(attempt, BODY, more)
        record.write(f"the backend answers {sent!r}")
        stream.sendall(sent)
        return True

    try:
        mesh.configure(1)
        machines = mesh.add(
            [
                ("desk-1", "desk", "north", 0.02),
                ("desk-2", "desk", "south", 0.02),
                ("store-1", "store", "south", 0.02),
            ]
        )
        for machine in machines:
            machine.backend.behaviour = answer
        mesh.wait_ready()
        time.sleep(2)
        for number, machine in enumerate(machines):
            attempt = f"read-{number}"
            with socket.create_connection(machine.outbound, 2) as stream:
                stream.settimeout(4)
                stream.sendall(
                    f"GET /read/1 HTTP/1.1\r\nHost: {HOST}\r\n"
                    f"X-Attempt-Id: {attempt}\r\nX-Deadline-Ms: 1000\r\n"
                    "Connection: close\r\n\r\n".encode()
                )
                status, fields, body, rest = read_answer(stream)
            record.write(f"{attempt} gets {status} {fields} body {body!r} rest {rest!r}")
            if status == 200 and (body != BODY or rest):
                broken.append(
                    f"{attempt} at {machine.name} got 200 with the seal "
                    f"{fields.get('x-response-seal')!r} and the body {body!r} "
                    f"instead of {BODY!r}"
                )
        return broken
    finally:
        mesh.close()


run_case(case, os.path.join(HERE, "record.txt"))
