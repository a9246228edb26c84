"""Stand-ins and a small deployment for the scripts of this review.

Everything runs on loopback addresses and on the real clock. The hosts are separate processes, started with the
command of deploy/system.toml and with settings that are rendered from deploy/settings.yaml. The platform's store, the
runners and the callers are coroutines of this process; they behave as the users' pages say and as a sound program
would where the pages are silent, except for what a case injects.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import struct
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, CANNOT_RUN = 0, 41, 42  # run.sh turns these into 0, 1 and 2


class Record:
    """Writes record.txt: one line for each thing that was sent, answered or run, with seconds since the start."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.began

    def __call__(self, what, **facts):
        text = " ".join(f"{key}={value}" for key, value in facts.items())
        self.file.write(f"{self.now():8.3f} {what} {text}\n")
        self.file.flush()


# HTTP/1.1


async def read_head(reader):
    """Returns the first line and the header fields of a message, or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields, until_end=False):
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                while (await reader.readline()).strip():
                    pass
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    if "content-length" in fields:
        return await reader.readexactly(int(fields["content-length"]))
    return await reader.read() if until_end else b""


def message(first, fields, body=b""):
    lines = [first] + [f"{name}: {value}" for name, value in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def call(address, method, target, fields=None, body=b"", timeout=10.0):
    """Sends one request on a new connection. Returns (status, fields, body, whole)."""
    host, port = address.rsplit(":", 1)
    writer = None
    status, got, data = 0, {}, b""
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 22)
            head = dict(fields or {})
            head.setdefault("Host", address)
            head["Content-Length"] = str(len(body))
            writer.write(message(f"{method} {target} HTTP/1.1", head, body))
            await writer.drain()
            first = await read_head(reader)
            if first is None:
                return 0, {}, b"", False
            status, got = int(first[0].split(" ")[1]), first[1]
            data = await read_body(reader, got, until_end=True)
            return status, got, data, True
    except (asyncio.IncompleteReadError, ConnectionError, OSError, TimeoutError, ValueError):
        return status, got, data, False
    finally:
        if writer is not None:
            writer.close()


# The platform's store


class Store:
    """The platform's store. Each host reaches it at an address of its own, so that it can turn single hosts away."""

    def __init__(self, record):
        self.record = record
        self.topics = {}
        self.changed = asyncio.Event()
        self.refused = {}  # name of a host -> "busy", "silent" or "reset"
        self.servers = []

    def topic(self, name):
        return self.topics.setdefault(name, {"records": [], "newest": {}})

    def append(self, name, content):
        topic = self.topic(name)
        offset = len(topic["records"])
        topic["records"].append(content)
        if name.startswith("keyed."):
            size = content[0]
            key, value = content[1 : 1 + size].decode(), content[1 + size :]
            if value:
                topic["newest"][key] = (value, offset)
            else:
                topic["newest"].pop(key, None)
        self.changed.set()
        self.changed = asyncio.Event()
        return offset

    def put(self, name, key, value=None):
        """What the operator or a runner writes. Returning is the acknowledgement."""
        content = bytes([len(key)]) + key.encode() + (b"" if value is None else json.dumps(value).encode())
        return self.append(name, content)

    async def listen(self, host, ip="127.0.0.1"):
        server = await asyncio.start_server(lambda r, w: self.serve(host, r, w), ip, 0, limit=1 << 23)
        self.servers.append(server)
        port = server.sockets[0].getsockname()[1]
        return f"{ip}:{port}"

    async def serve(self, host, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                first, fields = head
                body = await read_body(reader, fields)
                method, target, _ = first.split(" ")
                status, answer = 503, b"{}"
                if self.refused.get(host) != "busy":
                    status, answer = await self.handle(host, method, target, body)
                refusal = self.refused.get(host)
                if refusal == "silent":
                    await asyncio.sleep(3600)
                if refusal == "reset":
                    writer.transport.abort()
                    return
                if refusal == "busy":
                    status, answer = 503, b"{}"
                writer.write(message(f"HTTP/1.1 {status} X", {"Content-Length": len(answer)}, answer))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    async def handle(self, host, method, target, body):
        path, _, text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(text))
        name = query.get("topic", "")
        if name in ("keyed.op", "keyed.servers") and path == "/v1/log-append":
            return 403, b"{}"
        if path == "/v1/log-append":
            topic = self.topic(name)
            end = len(topic["records"])
            if "at" in query and int(query["at"]) != end:
                return 412, json.dumps({"end": end}).encode()
            while body:
                (size,) = struct.unpack(">I", body[:4])
                self.append(name, body[4 : 4 + size])
                body = body[4 + size :]
            return 200, json.dumps({"offset": end, "end": len(topic["records"])}).encode()
        if name not in self.topics:
            return 404, b"{}"
        topic = self.topic(name)
        if path == "/v1/log-newest":
            items = [
                {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                for key, (value, offset) in sorted(topic["newest"].items())
                if key > query.get("after", "")
            ]
            page = {"items": items[:500], "has_more": len(items) > 500, "end": len(topic["records"])}
            return 200, json.dumps(page).encode()
        if path == "/v1/log-read":
            start = int(query.get("from", 0))
            until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
            while len(topic["records"]) <= start and (left := until - time.monotonic()) > 0:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    break
            data = struct.pack(">QQ", len(topic["records"]), 0)
            for content in topic["records"][start:]:
                if len(data) > 1 << 20:
                    break
                data += struct.pack(">I", len(content)) + content
            return 200, data
        return 404, b"{}"


# Runners


class Runner:
    """A runner. `work` is called for each request that it runs and writes the answer."""

    def __init__(self, world, name, service, zone, models=None, slots=8):
        self.world = world
        self.id = name
        self.service = service
        self.zone = zone
        self.models = models  # [{"name": ..., "version": ...}] of a model runner
        self.slots = slots
        self.state = "ready"
        self.seq = 0
        self.orders = 0
        self.born = int(time.time() * 1000)
        self.running = 0
        self.work = None
        self.up = False
        self.port = 0
        self.server = None
        self.writers = set()
        self.listed = True

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port, limit=1 << 23)
        self.port = self.server.sockets[0].getsockname()[1]
        self.up = True
        self.beat()

    def entry(self):
        fields = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "1",
            "slots": self.slots,
            "state": self.state,
            "cold_ms": 0,
            "seq": self.seq,
            "born": self.born,
        }
        if self.models is not None:
            fields |= {"stage": "prefill_decode", "models": self.models}
        return fields

    def beat(self):
        if self.up and self.listed:
            self.seq += 1
            self.world.store.put("keyed.servers", self.id, self.entry())

    async def crash(self):
        """The process ends: its port has no listener and its connections are reset."""
        self.up = False
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()
        self.running = 0

    async def restart(self, new_id):
        """A new lifetime with a new id, at the same address."""
        self.id = new_id
        self.seq = 0
        self.orders = 0
        self.state = "ready"
        self.born = int(time.time() * 1000)
        await self.start()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while self.up and (head := await read_head(reader)) is not None:
                first, fields = head
                method, target, _ = first.split(" ")
                body = await read_body(reader, fields)
                await self.handle(method, target, fields, body, reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def common(self, fields):
        answer = {"X-Endivespan-Instance-Id": self.id}
        if "x-endivespan-request-id" in fields:
            answer["X-Endivespan-Request-Id"] = fields["x-endivespan-request-id"]
        if self.state == "draining":
            answer["Server-Leaving"] = "1"
        answer["X-Endivespan-Server-Load"] = f"{self.running},0,{self.slots}"
        if self.models is not None:
            answer["X-Endivespan-Weight-Versions"] = self.models[0]["version"]
        return answer

    async def answer(self, writer, status, fields, body=b""):
        writer.write(message(f"HTTP/1.1 {status} X", fields | {"Content-Length": len(body)}, body))
        await writer.drain()

    async def handle(self, method, target, fields, body, reader, writer):
        record = self.world.record
        expected = fields.get("x-endivespan-expect-instance")
        if expected not in (None, self.id):
            return await self.answer(writer, 421, self.common(fields) | {"X-Endivespan-Not-Executed": "1"})
        if target == "/health":
            return await self.answer(writer, 200 if self.state == "ready" else 503, self.common(fields))
        if target == "/v1/report":
            report = {
                "stage": "prefill_decode", "models": self.models or [], "busy": False, "seq": self.orders,
                "waiting": 0, "running": self.running, "kv_used": 0, "kv_total": 90000, "handles": 0,
            }
            return await self.answer(writer, 200, self.common(fields), json.dumps(report).encode())
        if target == "/v1/order":
            order = json.loads(body)
            if order.get("expected", self.orders) != self.orders:
                return await self.answer(writer, 409, self.common(fields))
            self.orders += 1
            for model in self.models or []:
                if model["name"] == order["model"]:
                    model["version"] = order["version"]
            self.beat()
            record("order", runner=self.id, holder=order["holder"], version=order["version"])
            return await self.answer(writer, 202, self.common(fields))
        wanted = fields.get("x-endivespan-expect-version")
        if wanted is not None and self.models and int(wanted) != self.models[0]["version"]:
            return await self.answer(writer, 421, self.common(fields) | {"X-Endivespan-Not-Executed": "1"})
        identity = fields.get("x-endivespan-request-id", "")
        record("run", request=identity, runner=self.id, zone=self.zone, tenant=fields.get("x-endivespan-tenant", "-"))
        self.world.runs.append((self.world.record.now(), identity, self, fields))
        self.running += 1
        try:
            if self.work is not None:
                return await self.work(self, fields, body, writer)
            await self.answer(writer, 200, self.common(fields) | self.seal(), b"done")
        finally:
            self.running = max(0, self.running - 1)

    def seal(self):
        return {"X-Endivespan-Server-Seal": f"{random.getrandbits(48):x}.{self.id}"}


# Hosts


def render(template, fields):
    """Renders the part of the template language of the platform that deploy/settings.yaml uses."""

    def value(path):
        found = fields
        for name in path.split("."):
            if isinstance(found, list):
                found = found[int(name)] if int(name) < len(found) else None
            else:
                found = found.get(name) if isinstance(found, dict) else None
        return found

    def section(match):
        found = value(match.group(1))
        return match.group(2) if found not in (None, False, [], {}) else ""

    text = re.sub(r"\{\{#([\w.]+)\}\}\n?(.*?)\{\{/\1\}\}\n?", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: "" if value(m.group(1)) is None else str(value(m.group(1))), text)


class Host:
    """A machine that runs the process of the deploy file."""

    def __init__(self, world, name, ip, zone):
        self.world = world
        self.name = name
        self.ip = ip
        self.zone = zone
        self.process = None
        self.starts = 0
        self.front = f"{ip}:8005"
        self.ready = f"{ip}:8002"

    async def start(self):
        world = self.world
        fields = {
            "node_name": self.name, "role": "host", "machine_class": "front", "serves": ["front"], "ip": self.ip,
            "zone": self.zone, "region": "area-1", "listen": {"front": self.front, "ready": self.ready},
            "internal_ports": [7700, 7715], "bootstrap": self.starts == 0 and world.first_start,
            "bounds": world.bounds, "platform": {"address": world.store_addresses[self.name]},
        }
        path = os.path.join(world.folder, f"{self.name}.yaml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(render(world.template, fields))
        log = open(os.path.join(world.folder, f"{self.name}.log"), "ab")
        command = [os.path.join(ROOT, world.command[0]), path]
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL,
            env={"PATH": os.environ.get("PATH", ""), "HOME": world.folder, "LANG": "C.UTF-8",
                 "ENDIVESPAN_SETTINGS": path},
        )
        self.starts += 1
        world.record("start", host=self.name, pid=self.process.pid)

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)
            self.world.record("signal", host=self.name, signal=signal.Signals(number).name)

    async def ended(self, timeout):
        try:
            await asyncio.wait_for(self.process.wait(), timeout)
            return True
        except asyncio.TimeoutError:
            return False

    def memory_mb(self):
        """Resident memory, without pages that are shared with files."""
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as file:
                found = re.search(r"RssAnon:\s+(\d+) kB", file.read())
                return int(found.group(1)) / 1024 if found else 0.0
        except OSError:
            return 0.0

    async def is_ready(self):
        status, _, _, _ = await call(self.ready, "GET", "/v1/ready", timeout=1.0)
        return status == 200


BOUNDS = {  # of the installation nukke-hame
    "grace_s": 8, "config_apply_ms": 2000, "drain_ms": 2000, "revoke_ms": 5000, "version_ms": 10000, "lease_ms": 3000,
    "budget_ratio": 0.2, "budget_slack": 104, "budget_window_s": 10, "cold_overage": 1.5, "cold_slack": 5,
}


class World:
    """A small deployment: a store, runners and hosts."""

    def __init__(self, folder, zones=("zone-a",)):
        self.record = Record(folder)
        self.store = Store(self.record)
        self.store_addresses = {}
        self.zones = zones
        self.runners = []
        self.hosts = []
        self.runs = []
        self.bounds = dict(BOUNDS)
        self.first_start = True
        self.folder = tempfile.mkdtemp(prefix="endivespan-review-")
        self.config = {"version": 1, "routes": [], "services": [],
                       "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                                  "idle_timeout_ms": 15000}, "tenants": []}
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["host"]
        self.command = role["run"].split(" ")
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
            self.template = file.read()
        self.ids = 0
        self.tasks = []
        # A network of its own for each run, so that the fixed ports of the settings are free.
        self.net = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"

    def can_run(self):
        return os.access(os.path.join(ROOT, self.command[0]), os.X_OK)

    def request_id(self):
        self.ids += 1
        return f"{random.getrandbits(48):012x}{self.ids:04x}"

    def configure(self):
        """The operator writes the configuration; the store's answer is the acknowledgement."""
        self.store.put("keyed.op", "config", self.config)
        self.record("configuration_acknowledged", version=self.config["version"])
        self.config = json.loads(json.dumps(self.config))
        self.config["version"] += 3

    async def add_runner(self, service, zone, **options):
        runner = Runner(self, f"i-{random.getrandbits(40):010x}", service, zone, **options)
        await runner.start()
        self.runners.append(runner)
        return runner

    async def add_host(self, zone):
        name = f"front-{zone}-{len(self.hosts) + 1}"
        self.store_addresses[name] = await self.store.listen(name)
        host = Host(self, name, f"{self.net}.{len(self.hosts) + 11}", zone)
        self.hosts.append(host)
        return host

    async def beats(self):
        while True:
            await asyncio.sleep(1.2)
            for runner in self.runners:
                runner.beat()

    async def begin(self):
        self.store.topic("keyed.op")
        self.store.topic("keyed.servers")
        self.tasks.append(asyncio.create_task(self.beats()))
        for host in self.hosts:
            await host.start()
        for _ in range(250):
            if all([await host.is_ready() for host in self.hosts]):
                self.record("all_hosts_ready")
                return True
            await asyncio.sleep(0.1)
        return False

    async def close(self):
        for task in self.tasks:
            task.cancel()
        for host in self.hosts:
            if host.process is not None and host.process.returncode is None:
                host.process.kill()
                await host.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def main(folder, case):
    """Runs a case: `case(world)` returns HELD or BROKEN. Exits with its result, or with 2 if it could not run."""

    async def run():
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        world = World(folder)
        world.record("begin", trouble=TROUBLE)
        result = CANNOT_RUN
        try:
            if world.can_run():
                result = await asyncio.wait_for(case(world), 115)
        except (Exception, asyncio.CancelledError) as problem:  # the case could not be run to its end
            world.record("cannot_run", why=repr(problem))
        finally:
            await world.close()
        world.record("end", result={HELD: "held", BROKEN: "broken", CANNOT_RUN: "cannot run"}[result])
        return result

    result = asyncio.run(run())
    print({HELD: "held", BROKEN: "BROKEN", CANNOT_RUN: "could not run"}[result])
    sys.exit(result)
