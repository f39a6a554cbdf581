"""Stand-ins for clients, endpoints and the platform, and the control of real dispatchers.

Everything listens on addresses of 127.0.0.0/8. Only the standard library is used.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

REPOSITORY = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
RUN = "exec target/release/fawnspoke"  # `run` of deploy/balancer.toml
PROGRAM = os.path.join(REPOSITORY, "target/release/fawnspoke")

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CouldNotRun(Exception):
    """The case could not be played as intended, so it says nothing."""


class Record:
    """What was sent, answered and run, a line each, with seconds since the start of the test."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def now(self):
        return time.monotonic() - self.started

    def add(self, text):
        self.file.write(f"{self.now():9.4f} {text}\n")
        self.file.flush()


class Network:
    """A network of its own in 127.0.0.0/8, so that two tests at a time do not meet."""

    def __init__(self):
        self.prefix = f"127.{random.randint(10, 250)}.{random.randint(0, 250)}"
        self.last = 0

    def host(self):
        self.last += 1
        return f"{self.prefix}.{self.last}"

    def free_address(self):
        host = self.host()
        with socket.socket() as probe:
            probe.bind((host, 0))
            return f"{host}:{probe.getsockname()[1]}"


def split(address):
    host, port = address.rsplit(":", 1)
    return host, int(port)


async def read_head(reader):
    """The first line and the headers of the next message; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_message(reader):
    head = await read_head(reader)
    if head is None:
        return None
    first_line, headers = head
    try:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return first_line, headers, body


def response(status, headers=(), body=b""):
    reasons = {200: "OK", 204: "No Content", 400: "Bad Request", 404: "Not Found", 429: "Too Many Requests",
               500: "Internal Server Error", 503: "Service Unavailable", 413: "Payload Too Large"}
    lines = [f"HTTP/1.1 {status} {reasons.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if status != 204:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Agent:
    """The platform's agent beside one dispatcher: its list of endpoints, watches of it, and notices."""

    def __init__(self, record, name, host):
        self.record, self.name, self.host = record, name, host
        self.seq = 0
        self.entries = {}
        self.changes = []
        self.silent = False
        self.back = asyncio.Event()
        self.back.set()
        self.changed = asyncio.Condition()
        self.notices = {}
        self.told = []
        self.writers = set()
        self.abandoned_at = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    async def change(self, **entry):
        """An entry of the list changes. `host` names it."""
        self.seq += 1
        self.entries[entry["host"]] = entry
        self.changes.append((self.seq, entry))
        self.record.add(f"agent {self.name}: has version {self.seq}: {entry['host']} {entry['health']}")
        async with self.changed:
            self.changed.notify_all()

    async def set_silent(self, silent):
        self.silent = silent
        self.record.add(f"agent {self.name}: {'silent' if silent else 'answers again'}")
        (self.back.clear if silent else self.back.set)()
        async with self.changed:
            self.changed.notify_all()

    def whole(self):
        hosts = [entry for entry in self.entries.values() if entry["health"] != "removed"]
        return {"seq": self.seq, "whole": True, "hosts": hosts}

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                first_line, _, body = message
                if first_line.startswith("POST /status"):
                    self.take_notices(body)
                    writer.write(response(204))
                    await writer.drain()
                elif first_line.startswith("GET /registry/instances"):
                    self.record.add(f"agent {self.name}: asked for the list")
                    if not await self.answers(reader):
                        return
                    if "stream=1" not in first_line:
                        writer.write(response(200, (), json.dumps(self.whole()).encode()))
                        await writer.drain()
                        continue
                    await self.watch(writer)
                    return
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answers(self, reader):
        """Waits until discovery answers; False if the dispatcher gives up before."""
        back, closed = asyncio.ensure_future(self.back.wait()), asyncio.ensure_future(reader.read(1))
        done, pending = await asyncio.wait({back, closed}, return_when=asyncio.FIRST_COMPLETED)
        for task in pending:
            task.cancel()
        await asyncio.gather(*pending, return_exceptions=True)
        if back in done:
            return True
        self.abandoned_at = self.record.now()
        self.record.add(f"agent {self.name}: the dispatcher no longer waits")
        return False

    def take_notices(self, body):
        for line in body.decode().splitlines():
            if line.strip():
                notice = json.loads(line)
                self.notices.setdefault(notice["message"], []).append((self.record.now(), notice["outcome"]))
                self.record.add(f"agent {self.name}: notice {line.strip()}")

    async def write_line(self, writer, text):
        data = text.encode() + b"\n"
        writer.write(b"%x\r\n" % len(data) + data + b"\r\n")
        await writer.drain()

    async def watch(self, writer):
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        written = self.seq
        await self.write_line(writer, json.dumps(self.whole()))
        self.told.append((self.record.now(), written))
        self.record.add(f"agent {self.name}: watch: wrote version {written}, whole")
        while True:
            try:
                async with self.changed:
                    await asyncio.wait_for(
                        self.changed.wait_for(lambda: not self.silent and self.seq > written), 2.0)
            except asyncio.TimeoutError:
                if not self.silent:
                    await self.write_line(writer, "")
                continue
            hosts = {entry["host"]: entry for seq, entry in self.changes if seq > written}
            written = self.seq
            await self.write_line(writer, json.dumps({"seq": written, "whole": False, "hosts": list(hosts.values())}))
            self.told.append((self.record.now(), written))
            self.record.add(f"agent {self.name}: watch: wrote version {written}")


class Endpoint:
    """One endpoint of a destination. `behave(endpoint, call)` is a coroutine that returns the bytes of the response, or
    None to answer nothing. A call has the keys at, ids, key, path, headers, body, writer."""

    def __init__(self, record, name, host, destination, behave):
        self.record, self.name, self.host, self.destination, self.behave = record, name, host, destination, behave
        self.calls = []
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    def entry(self, health="up", rate=20.0, kind="plain"):
        return {"host": self.name, "dial": self.address, "site": "dc", "class": kind, "block": self.destination,
                "health": health, "share": rate, "born_ms": 0}

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first = await reader.read(1)
                if not first:
                    return
                first_byte_at = self.record.now()
                head = await reader.readuntil(b"\r\n\r\n")
                lines = (first + head).decode("latin-1").split("\r\n")
                headers = {line.split(":", 1)[0].strip().lower(): line.split(":", 1)[1].strip()
                           for line in lines[1:] if ":" in line}
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                path = lines[0].split(" ")[1]
                call = {"first_byte_at": first_byte_at, "at": self.record.now(), "path": path, "headers": headers,
                        "body": body, "ids": self.ids(path, headers, body), "endpoint": self,
                        "key": headers.get("idempotency-key"), "writer": writer, "reader": reader,
                        "peer": writer.get_extra_info("peername")}
                self.calls.append(call)
                self.record.add(f"endpoint {self.name}: {lines[0].rsplit(' ', 1)[0]} {' '.join(call['ids'])}")
                answer = await self.behave(self, call)
                if answer is None:
                    continue
                writer.write(answer)
                await writer.drain()
                call["answered_at"] = self.record.now()
                self.record.add(f"endpoint {self.name}: answered {' '.join(call['ids'])}: "
                                f"{answer.split(b' ', 2)[1].decode() if answer else 'nothing'}")
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    @staticmethod
    def ids(path, headers, body):
        if path != "/receive-many":
            return [headers["request-id"]] if "request-id" in headers else []
        ids, rest = [], body
        while rest:
            line, rest = rest.split(b"\r\n", 1)
            words = line.decode().split(" ")
            ids.append(words[0])
            rest = rest[int(words[2]) + 2:]
        return ids


async def deliver(endpoint, call):
    """Answers any call with a delivery."""
    if call["path"] == "/receive-many":
        return response(200, (), "".join(f"{name} delivered\r\n" for name in call["ids"]).encode())
    return response(200)


CHARGE_POST = {"name": "charge-post", "deadline": 24.0, "effect": "idempotency_key", "gain": 1.0, "goal_time": 2.0,
               "group": "all", "late_share": 0.3, "repeat_window": 15.0, "stream": False}
BALANCE_UPDATE = {"name": "balance-update", "deadline": 20.0, "effect": "read_like", "gain": 3.0, "goal_time": 3.0,
                  "group": "all", "late_share": 0.4, "stream": False}
PAYMENT = {"name": "payment", "deadline": 20.0, "effect": "non_idempotent", "gain": 1.0, "goal_time": 3.0,
           "group": "all", "late_share": 0.4, "stream": False}


def settings(dispatchers, grades, batches=(1,), slots=16, room=200, **limits):
    return {
        "balancers": dispatchers, "discovery": "automatic", "tick": 0.005, "weights": "nominal", "zone": 0,
        "zones": ["dc"], "kinds": ["plain" if batch == 1 else f"batch{batch}" for batch in batches],
        "family_info": {"call_slots": slots, "kind_apart": [False] * len(batches), "kind_batch": list(batches),
                        "loses_worth": "by_half"},
        "grades": list(grades), "orgs": [], "over_share_worth": 0.1,
        "limits": {"connect_timeout": 1.5, "keepalive": 15.0, "max_retry_after": 3.0, "open_cap": room,
                   "probes": True, "cancel": True, "send_cap": 12, **limits},
        "report": {"fields": ["x0", "x1"], "source": "inline"},
        "safety": {"cold": 9.6, "cold_share": 0.19, "fall": 3.0, "must_ask_in": 10.0, "tip_multiple": 2.0,
                   "grace_to_answer": 0.3, "stop_sending_within": 1.0},
    }


class Dispatcher:
    """One dispatcher: its folder, its configuration, and the processes that were started for it."""

    def __init__(self, test, name, agent, known, **config):
        self.test, self.name, self.agent = test, name, agent
        self.folder = os.path.join(test.folder, name)
        self.state = os.path.join(self.folder, "state")
        os.makedirs(self.state)
        self.config = {"name": name, "listen": test.network.free_address(), "discovery": agent.address,
                       "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3}, "known": known,
                       **config}
        self.environment = {}
        self.process = None
        self.starts = 0

    def write_config(self):
        self.config["seed"] = f"{random.getrandbits(64):016x}"
        path = os.path.join(self.folder, "config.json")
        with open(path + ".next", "w") as file:
            json.dump(self.config, file)
        os.rename(path + ".next", path)
        return path

    async def spawn(self, **environment):
        """Starts a process for this dispatcher with the command of the deploy file."""
        self.starts += 1
        variables = {"GW_NAME": self.name, "GW_LISTEN": self.config["listen"], "GW_DISCOVERY": self.agent.address,
                     "GW_STATE": self.state, "GW_CONFIG": self.write_config(), "PATH": os.environ["PATH"],
                     **self.environment, **environment}
        log = open(os.path.join(self.folder, f"log-{self.starts}.txt"), "w")
        process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", RUN, cwd=REPOSITORY, env=variables, stdout=log, stderr=log,
            stdin=asyncio.subprocess.DEVNULL, start_new_session=True)
        log.close()
        self.test.processes.append(process)
        self.test.record.add(f"platform: starts {self.name}, process {self.starts}")
        return process

    async def start(self, **environment):
        self.process = await self.spawn(**environment)
        await self.ready()

    async def ready(self, within=30.0):
        deadline = time.monotonic() + within
        host, port = split(self.config["listen"])
        while time.monotonic() < deadline:
            if self.process.returncode is not None:
                raise CouldNotRun(f"{self.name} ended while it started: {self.log()[-300:]}")
            try:
                reader, writer = await asyncio.open_connection(host, port)
                writer.write(b"GET /health/ready HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n\r\n")
                status = await asyncio.wait_for(reader.readline(), 1.0)
                writer.close()
                if b" 200 " in status:
                    self.test.record.add(f"platform: {self.name} is ready")
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.01)
        raise CouldNotRun(f"{self.name} was not ready within {within} s")

    def signal(self, number, process=None):
        process = process or self.process
        self.test.record.add(f"platform: {signal.Signals(number).name} to {self.name}")
        try:
            process.send_signal(number)
        except ProcessLookupError:
            pass

    async def kill(self):
        self.signal(signal.SIGKILL)
        await self.process.wait()

    def log(self):
        text = ""
        for number in range(1, self.starts + 1):
            with open(os.path.join(self.folder, f"log-{number}.txt")) as file:
                text += file.read()
        return text


class Client:
    """Hands messages in, one at a time on a connection that it keeps."""

    def __init__(self, test, dispatcher):
        self.test, self.dispatcher, self.idle = test, dispatcher, []

    async def connection(self):
        while self.idle:
            reader, writer = self.idle.pop()
            if not reader.at_eof() and not writer.is_closing():
                return reader, writer
        return await asyncio.open_connection(*split(self.dispatcher.config["listen"]))

    async def submit(self, class_name, destination, timeout_ms, body=b"hello", identifier=None, key=None,
                     patience=0.4):
        """Hands a message in. Returns its id and the status of the answer; None where no answer was heard."""
        identifier = identifier or f"{random.getrandbits(64):016x}"
        message = {"id": identifier, "class": class_name, "destination": destination, "timeout": timeout_ms / 1000,
                   "dispatcher": self.dispatcher, "sent_at": self.test.record.now(), "status": None, "key": key}
        self.test.messages[identifier] = message
        head = (f"POST /{class_name} HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: {identifier}\r\n"
                f"Request-Class: {class_name}\r\nRequest-Timeout-Ms: {timeout_ms}\r\n"
                + (f"Idempotency-Key: {key}\r\n" if key else "")
                + f"Content-Length: {len(body)}\r\nX-Consignee: dest={destination}\r\n\r\n")
        self.test.record.add(f"client: {identifier} {class_name} to destination {destination} at "
                             f"{self.dispatcher.name}, {timeout_ms} ms")
        writer = None
        try:
            reader, writer = await self.connection()
            writer.write(head.encode() + body)
            answer = await asyncio.wait_for(read_message(reader), patience)
            if answer is None:
                raise ConnectionError("closed")
            message["status"] = int(answer[0].split(" ")[1])
            message["answered_at"] = self.test.record.now()
            if answer[1].get("connection", "").lower() == "close":
                writer.close()
            else:
                self.idle.append((reader, writer))
        except (OSError, asyncio.TimeoutError) as error:
            message["error"] = repr(error)
            if writer is not None:
                writer.close()
        self.test.record.add(f"client: {identifier} answered {message['status'] or message.get('error')}")
        return identifier, message["status"]


class Test:
    """One run of a case: its folder, its network, and what it started."""

    def __init__(self, folder):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(folder)
        self.record.add(f"with{'' if self.trouble else 'out'} the disruption")
        self.network = Network()
        self.folder = tempfile.mkdtemp(prefix="fawnspoke-review-")
        self.processes = []
        self.messages = {}
        self.notes = []

    def say(self, text):
        self.record.add(f"verdict: {text}")
        print(text)

    async def end(self):
        for process in self.processes:
            if process.returncode is None:
                try:
                    os.killpg(process.pid, signal.SIGKILL)
                except ProcessLookupError:
                    pass
        for process in self.processes:
            await process.wait()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def main(play, folder, limit=110.0):
    """Plays a case: `play(test)` returns HELD or BROKEN."""

    async def run():
        if not os.access(PROGRAM, os.X_OK):
            print("target/release/fawnspoke is missing: build first")
            return COULD_NOT_RUN
        test = Test(folder)
        try:
            return await asyncio.wait_for(play(test), limit)
        except (CouldNotRun, asyncio.TimeoutError) as error:
            test.say(f"could not run: {error!r}")
            return COULD_NOT_RUN
        finally:
            await test.end()

    sys.exit(asyncio.run(run()))


async def ask_operator_port(address, line, within=2.0):
    """One call to a dispatcher's control port; the whole answer."""
    reader, writer = await asyncio.open_connection(*split(address))
    writer.write(line.encode() + b"\n")
    answer = await asyncio.wait_for(reader.read(), within)
    writer.close()
    return answer.decode()


async def fleet_status(address):
    """The fleet as a member sees it; None where it does not tell."""
    try:
        answer = await ask_operator_port(address, "FLEET")
        return json.loads(answer.split(" ", 1)[1]) if answer.startswith("SUCCESS") else None
    except (OSError, asyncio.TimeoutError, ValueError):
        return None


def fleet_file(test, members, **options):
    """Writes a fleet's file; `members`: names and addresses of the voters."""
    path = os.path.join(test.folder, "fleet.hcl")
    lines = ['cluster = "review"'] + [f"{name} = {value}" for name, value in options.items()]
    for name, address in members:
        lines.append(f'member "{name}" {{\n  at = "{address}"\n  voter = true\n}}')
    with open(path, "w") as file:
        file.write("\n".join(lines) + "\n")
    return path


async def found_fleet(test, path, dispatcher):
    process = await asyncio.create_subprocess_exec(
        PROGRAM, "fleet", "found", path, dispatcher.name, dispatcher.state, cwd=REPOSITORY,
        stdout=asyncio.subprocess.DEVNULL, stderr=asyncio.subprocess.PIPE)
    _, errors = await process.communicate()
    if process.returncode != 0:
        raise CouldNotRun(f"fleet found: {errors.decode()}")
