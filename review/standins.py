"""Stand-ins for clients, endpoints and the platform, and a runner for dispatcher processes.

Everything uses loopback addresses, the real clock and the Python standard library alone.
"""

import asyncio
import json
import os
import shutil
import signal
import socket
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))


def deploy_command():
    """The command that starts one dispatcher, from the deploy file."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as file:
        return tomllib.load(file)["run"]


class Record:
    """Writes what was sent, answered and run, a line an event, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def add(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")


async def read_head(reader):
    """The first line and the headers of an HTTP message; None at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


class Call:
    """One call that an endpoint has received whole."""

    def __init__(self, endpoint, number, connection, message, key, received_at):
        self.endpoint, self.number, self.connection = endpoint, number, connection
        self.message, self.key, self.received_at = message, key, received_at
        # When its connection ended, or its response was written.
        self.ended_at = None
        self.status = None


class Endpoint:
    """An endpoint. `script(call)` is a coroutine that returns a status (with optional headers), or None to answer nothing."""

    def __init__(self, host, destination, kind, zone, script, record):
        self.host, self.destination, self.kind, self.zone = host, destination, kind, zone
        self.script, self.record = script, record
        self.calls = []
        self.writers = set()
        self.connections = 0
        self.address = None
        self.server = None
        self.health = "up"

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        return self

    def entry(self, share=20.0):
        return {"host": self.host, "dial": self.address, "site": self.zone, "class": self.kind,
                "block": self.destination, "health": self.health, "share": share, "born_ms": 0}

    async def serve(self, reader, writer):
        self.connections += 1
        connection = self.connections
        self.writers.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                method, path = line.split(" ")[:2]
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                if method == "GET":
                    self.record.add(f"endpoint {self.host}: probe {path}")
                    await self.respond(writer, 200 if path in ("/health/live", "/stats") else 404, {})
                    continue
                await self.call(reader, writer, connection, headers, body)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def call(self, reader, writer, connection, headers, body):
        call = Call(self, len(self.calls), connection, headers.get("request-id"), headers.get("idempotency-key"),
                    self.record.now())
        self.calls.append(call)
        self.record.add(f"endpoint {self.host}: call {call.number} of {call.message} key {call.key} "
                        f"on connection {connection}, timeout {headers.get('request-timeout-ms')} ms")
        answer = asyncio.ensure_future(self.script(call))
        # A byte or the end of the connection while the call is out.
        ended = asyncio.ensure_future(reader.read(1))
        await asyncio.wait([answer, ended], return_when=asyncio.FIRST_COMPLETED)
        if not answer.done():
            answer.cancel()
            call.ended_at = self.record.now()
            self.record.add(f"endpoint {self.host}: call {call.number} of {call.message}: the dispatcher closed")
            raise ConnectionError
        ended.cancel()
        try:
            await ended
        except (asyncio.CancelledError, ConnectionError):
            pass
        status, extra = answer.result()
        call.status = status
        await self.respond(writer, status, extra)
        call.ended_at = self.record.now()
        self.record.add(f"endpoint {self.host}: call {call.number} of {call.message}: answered {status}")

    async def respond(self, writer, status, extra):
        head = f"HTTP/1.1 {status} X\r\nContent-Length: 0\r\n"
        head += "".join(f"{name}: {value}\r\n" for name, value in extra.items())
        writer.write((head + "\r\n").encode())
        await writer.drain()

    def stop(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Platform:
    """Discovery and the receiver of notices."""

    def __init__(self, endpoints, record):
        self.endpoints, self.record = endpoints, record
        self.seq = 1
        # Notices by message: (time, outcome).
        self.notices = {}
        self.address = None
        self.watches = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        return self

    def whole_list(self):
        return {"seq": self.seq, "whole": True, "hosts": [endpoint.entry() for endpoint in self.endpoints]}

    async def serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                method, path = line.split(" ")[:2]
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                if method == "POST" and path == "/status":
                    for text in body.decode().splitlines():
                        if text.strip():
                            notice = json.loads(text)
                            self.notices.setdefault(notice["message"], []).append(
                                (self.record.now(), notice["outcome"]))
                            self.record.add(f"platform: notice {text}")
                    writer.write(b"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n")
                    await writer.drain()
                elif "stream=1" in path:
                    await self.watch(writer)
                else:
                    text = json.dumps(self.whole_list()).encode()
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(text) + text)
                    await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def watch(self, writer):
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        text = json.dumps(self.whole_list()).encode() + b"\n"
        seq = self.seq
        while True:
            writer.write(b"%x\r\n" % len(text) + text + b"\r\n")
            await writer.drain()
            text = b"\n"
            for _ in range(20):
                await asyncio.sleep(0.1)
                if self.seq != seq:
                    seq = self.seq
                    text = json.dumps(self.whole_list()).encode() + b"\n"
                    break


class Process:
    """One process of a dispatcher."""

    def __init__(self, process, control):
        self.process, self.control = process, control
        self.pid = process.pid

    def signal(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)

    def alive(self):
        return self.process.returncode is None


class Dispatcher:
    """The processes of one dispatcher: its folder, configuration and addresses."""

    def __init__(self, name, config, platform, record, folder, inherit=False):
        self.name, self.config, self.record, self.folder = name, config, record, folder
        self.state = os.path.join(folder, name, "state")
        os.makedirs(self.state)
        self.config_file = os.path.join(folder, name, "config.json")
        self.log = open(os.path.join(folder, name, "log"), "ab")
        self.platform = platform
        self.listener = None
        if inherit:
            self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
            port = self.listener.getsockname()[1]
        else:
            port = free_port()
        self.port = port
        self.processes = []
        config.update({"name": name, "listen": f"127.0.0.1:{port}", "discovery": platform.address,
                       "known": platform.whole_list()})

    def write_config(self):
        with open(self.config_file + ".next", "w") as file:
            json.dump(self.config, file)
        os.replace(self.config_file + ".next", self.config_file)

    async def start(self, extra=None):
        """Starts a process with the command of the deploy file; does not wait until it serves."""
        self.write_config()
        control = f"127.0.0.1:{free_port()}"
        env = dict(os.environ, GW_NAME=self.name, GW_LISTEN=self.config["listen"],
                   GW_DISCOVERY=self.platform.address, GW_STATE=self.state, GW_CONFIG=self.config_file,
                   GW_CONTROL=control, **(extra or {}))
        arguments = {}
        if self.listener is not None:
            env["GW_INHERITED_FD"] = str(self.listener.fileno())
            arguments["pass_fds"] = [self.listener.fileno()]
        process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", deploy_command(), cwd=ROOT, env=env, stdin=asyncio.subprocess.DEVNULL,
            stdout=self.log, stderr=self.log, **arguments)
        started = Process(process, control)
        self.processes.append(started)
        self.record.add(f"platform: started process {started.pid} of {self.name}")
        return started

    async def until_yes(self, process, patience=6.0):
        """Waits until the control port of a process says that it serves."""
        until = time.monotonic() + patience
        while time.monotonic() < until and process.alive():
            if (await control(process.control, "STATUS")).startswith("SUCCESS"):
                self.record.add(f"platform: process {process.pid} of {self.name} serves")
                return True
            await asyncio.sleep(0.01)
        return False

    async def stop_old(self, process):
        """SIGTERM, and SIGKILL 3.7 s later."""
        self.record.add(f"platform: SIGTERM to process {process.pid} of {self.name}")
        process.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(process.process.wait(), 3.7)
            self.record.add(f"platform: process {process.pid} of {self.name} has ended")
        except asyncio.TimeoutError:
            self.record.add(f"platform: SIGKILL to process {process.pid} of {self.name}")
            process.signal(signal.SIGKILL)

    def end(self):
        for process in self.processes:
            if process.alive():
                process.signal(signal.SIGKILL)


async def control(address, line):
    """One call at the control port; an empty text where nothing answers."""
    host, port = address.split(":")
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)
        writer.write((line + "\n").encode())
        text = await asyncio.wait_for(reader.read(), 3)
        writer.close()
        return text.decode()
    except (OSError, asyncio.TimeoutError):
        return ""


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Message:
    """A message of a client, and what the client has heard."""

    def __init__(self, request_id, class_name, destination, timeout_ms):
        self.id, self.class_name, self.destination, self.timeout_ms = request_id, class_name, destination, timeout_ms
        self.sent_at = None
        self.status = None

    def deadline(self):
        return self.sent_at + self.timeout_ms / 1000


async def submit(record, port, message, key=None, body=b"x" * 200):
    """Hands in one message on a connection of its own and waits 400 ms for the answer."""
    head = (f"POST /{message.class_name} HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: {message.id}\r\n"
            f"Request-Class: {message.class_name}\r\nRequest-Timeout-Ms: {message.timeout_ms}\r\n"
            f"Content-Length: {len(body)}\r\nX-Consignee: dest={message.destination}\r\n")
    if key:
        head += f"Idempotency-Key: {key}\r\n"
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", port), 0.4)
        message.sent_at = record.now()
        writer.write((head + "\r\n").encode() + body)
        line, _ = await asyncio.wait_for(read_head(reader), 0.4)
        message.status = int(line.split(" ")[1])
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
        message.status = type(error).__name__
    finally:
        if writer is not None:
            writer.close()
    record.add(f"client: {message.id} ({message.class_name}, destination {message.destination}, "
               f"{message.timeout_ms} ms): {message.status}")
    return message


async def answer(status, after=0.0, headers=None):
    await asyncio.sleep(after)
    return status, headers or {}


async def hang():
    await asyncio.sleep(3600)
    return 200, {}


def new_folder():
    return tempfile.mkdtemp(prefix="fawnspoke-review-")


def remove_folder(path):
    shutil.rmtree(path, ignore_errors=True)


def pasig_config():
    """A small deployment with the settings of pasig-senders, as the wire page shows them."""
    return {
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
        "settings": {
            "balancers": 2, "clients": {"marks_retry": True}, "discovery": "automatic", "family": "deliver",
            "family_info": {"call_slots": 9, "kind_apart": [False, False, False], "kind_batch": [5, 1, 1],
                            "loses_worth": "by_half", "refusal_cost": 0.0, "zone_fee": 0.0,
                            "report_x0": "share_of_the_allowance_that_is_left",
                            "report_x1": "calls_a_second_that_the_limit_allows;_0_where_there_is_none"},
            "goal": {"whole": 0.5, "worst_class": 0.2, "worst_tenant": 0.0, "worst_window": 0.3},
            "grades": [
                {"deadline": 24.0, "effect": "idempotency_key", "gain": 1.0, "goal_time": 2.0, "group": "all",
                 "late_share": 0.3, "name": "charge-post", "repeat_window": 15.0, "stream": False},
                {"deadline": 20.0, "effect": "read_like", "gain": 3.0, "goal_time": 3.0, "group": "all",
                 "late_share": 0.4, "name": "balance-update", "repeat_window": 5.0, "stream": False}],
            "kinds": ["carriers", "outlets", "payment-partners"],
            "limits": {"cancel": True, "connect_timeout": 1.5, "cpu_us_per_request": 0.0, "cpu_us_per_s": 692307,
                       "keepalive": 15.0, "max_retry_after": 3.0, "open_cap": 291, "peers": False, "probes": True,
                       "retry_after": True, "second_copies": False, "send_cap": 12, "streams_per_conn": 1},
            "me": 0, "orgs": [], "over_share_worth": 0.1,
            "prices": {"connection": 0.0, "cross_zone": 0.0, "discovery": 0.0, "handshake": 0.06, "late_fail": 0.02,
                       "moves": 0.0, "origin": 0.0, "peer": 0.0, "probe": 0.01, "waste": 0.08},
            "report": {"fields": ["x0", "x1"], "source": "inline"},
            "safety": {"cold": 9.6, "cold_share": 0.19, "fall": 3.0, "grace_to_answer": 0.02, "must_ask_in": 10.0,
                       "stop_sending_within": 1.0, "tip_multiple": 2.0},
            "tick": 0.005, "tier": 0, "tiers": ["partner-systems"], "value_by": "request", "weights": "nominal",
            "zone": 0, "zones": ["pasig-dc"]}}


def nairobi_config():
    """The same for nairobi-main: its classes, kinds and limits."""
    config = pasig_config()
    settings = config["settings"]
    settings.update({"clients": {"marks_retry": False}, "discovery": "subscribe", "over_share_worth": 0.05,
                     "kinds": ["national-network", "mall-charger", "fleet-depot"],
                     "report": {"fields": [], "source": "off"}, "tiers": ["operator-systems"], "zones": ["nbo-dc1"]})
    settings["family_info"].update({"kind_batch": [1, 1, 1], "loses_worth": "even", "refusal_cost": 0.05})
    settings["grades"] = [
        {"deadline": 28.0, "effect": "read_like", "gain": 1.0, "goal_time": 3.0, "group": "all", "late_share": 0.4,
         "name": "status-update", "repeat_window": 5.0, "stream": False},
        {"deadline": 24.0, "effect": "non_idempotent", "gain": 1.0, "goal_time": 3.0, "group": "all",
         "late_share": 0.5, "name": "session-payment", "repeat_window": 5.0, "stream": False}]
    settings["limits"].update({"keepalive": 5.0, "probes": False, "peers": True, "send_cap": 8, "open_cap": 120})
    settings["safety"].update({"cold": 14.0, "cold_share": 0.28, "stop_sending_within": 2.0, "tip_multiple": 1.5})
    return config
