"""An endpoint in a process of its own, whose answers never end: from `--from` to `--until` seconds after its start, each
call of the share `--share` gets one interim response (RFC 9110, 15.2) after the other, until the dispatcher gives the call
up. Any other call is delivered. The first line of its output is its address; each further one is a call."""

import argparse
import random
import socket
import sys
import threading
import time

INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a.css>; rel=preload\r\n\r\n"
DELIVERED = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
BLOCK_BYTES = 32 * 1024

parser = argparse.ArgumentParser()
parser.add_argument("--host", required=True)
parser.add_argument("--share", type=float, default=1.0)
parser.add_argument("--from", dest="start", type=float, default=0.0)
parser.add_argument("--until", type=float, default=0.0)
parser.add_argument("--bytes-per-second", type=float, default=0.0, help="for each call; 0: as fast as it is read")
options = parser.parse_args()

started = time.monotonic()
output = threading.Lock()


def say(text):
    with output:
        print(text, flush=True)


def read_request(stream):
    """The head and the body of the next request; None at the end of the connection."""
    head = b""
    while not head.endswith(b"\r\n\r\n"):
        line = stream.readline(65536)
        if not line:
            return None
        head += line
    length = 0
    for line in head.split(b"\r\n")[1:]:
        if line.lower().startswith(b"content-length:"):
            length = int(line.split(b":")[1])
    return head, stream.read(length)


def never_end(connection):
    block = INTERIM * (BLOCK_BYTES // len(INTERIM))
    written = 0
    try:
        while True:
            connection.sendall(block)
            written += len(block)
            if options.bytes_per_second:
                time.sleep(len(block) / options.bytes_per_second)
    except OSError:
        return written


def serve(connection):
    stream = connection.makefile("rb")
    try:
        while (request := read_request(stream)) is not None:
            now = time.monotonic() - started
            identifier = next((line.split(b":")[1].strip().decode() for line in request[0].split(b"\r\n")
                               if line.lower().startswith(b"request-id:")), "-")
            if options.start <= now < options.until and random.random() < options.share:
                say(f"call {identifier} answered without end")
                written = never_end(connection)
                say(f"call {identifier} given up after {written} bytes")
                return
            say(f"call {identifier} delivered")
            connection.sendall(DELIVERED)
    except OSError:
        pass
    finally:
        connection.close()


listener = socket.create_server((options.host, 0), backlog=256)
say("%s:%d" % listener.getsockname()[:2])
sys.stdout.flush()
while True:
    accepted, _ = listener.accept()
    accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    threading.Thread(target=serve, args=(accepted,), daemon=True).start()
