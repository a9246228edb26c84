"""Stand-ins of the platform's store, of runners and of clients, and the start of real hosts, for the cases of REPORT-3.

Everything listens on loopback. A host is the program that deploy/system.toml starts, with settings that are rendered
from deploy/settings.yaml. The store and the runners run as threads of the script, the hosts as processes.
"""

import base64
import collections
import http.client
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import urllib.parse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# The bounds of a small deployment.
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "stable_window_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000,
    "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_stretch_ms": 5000,
    "strict_revoke": True, "revoke_ms": 5000, "budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 104,
    "cold_overage": 1.5, "cold_slack": 5, "evacuate_ms": 5000, "recover_s": 12, "transit_ms": 120,
    "reuse_window_s": 20, "require_fence": True, "lease_ms": 3000, "thaw_ms": 300, "version_ms": 10000,
    "version_all_ms": 14000,
}
LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}


class CannotRun(Exception):
    """The case could not run; says nothing about the rule."""


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.start = time.monotonic()
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.start

    def line(self, text):
        with self.lock:
            self.file.write(f"{self.now():8.3f} {text}\n")
            self.file.flush()


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def __init__(self, *arguments):
        self.open = set()  # Sockets of the connections.
        super().__init__(*arguments)

    def process_request(self, request, client_address):
        self.open.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        self.open.discard(request)
        super().shutdown_request(request)

    def handle_error(self, request, client_address):
        pass  # A caller that has left is no fault of the stand-in.


def serve(handler, port=0):
    server = Server(("127.0.0.1", port), handler)
    threading.Thread(target=server.serve_forever, kwargs={"poll_interval": 0.05}, daemon=True).start()
    return server


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1

    def log_message(self, *_):
        pass

    def body(self):
        return self.rfile.read(int(self.headers.get("Content-Length", 0)))

    def reply(self, status, body=b"", fields=None):
        body = body if isinstance(body, bytes) else json.dumps(body).encode()
        self.send_response(status)
        for name, value in (fields or {}).items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        if self.command != "HEAD":
            self.wfile.write(body)
        self.wfile.flush()


class Store:
    """The platform's store: plain and keyed topics with one partition."""

    class Topic:
        def __init__(self):
            self.records = []
            self.newest = {}

    def __init__(self):
        self.lock = threading.Condition()
        self.topics = collections.defaultdict(Store.Topic)
        store = self

        class Api(Handler):
            def do_GET(self):
                url = urllib.parse.urlsplit(self.path)
                query = dict(urllib.parse.parse_qsl(url.query))
                if url.path == "/v1/log-read":
                    return store.read(self, query)
                if url.path == "/v1/log-newest":
                    return store.pages(self, query)
                self.reply(404)

            def do_POST(self):
                url = urllib.parse.urlsplit(self.path)
                query = dict(urllib.parse.parse_qsl(url.query))
                body = self.body()
                if url.path != "/v1/log-append":
                    return self.reply(404)
                if query["topic"] in ("keyed.op", "keyed.servers"):
                    return self.reply(403)
                records = []
                while body:
                    size = struct.unpack(">I", body[:4])[0]
                    records.append(body[4:4 + size])
                    body = body[4 + size:]
                self.reply(*store.append(query["topic"], records, query.get("at")))

        self.server = serve(Api)
        self.address = "127.0.0.1:%d" % self.server.server_port

    def append(self, name, records, at=None):
        with self.lock:
            topic = self.topics[name]
            if at is not None and int(at) != len(topic.records):
                return 412, {"end": len(topic.records)}
            first = len(topic.records)
            for record in records:
                if name.startswith("keyed."):
                    key, value = record[1:1 + record[0]].decode(), record[1 + record[0]:]
                    if value:
                        topic.newest[key] = (value, len(topic.records))
                    else:
                        topic.newest.pop(key, None)
                topic.records.append(record)
            self.lock.notify_all()
            return 200, {"offset": first, "end": len(topic.records)}

    def read(self, handler, query):
        first = int(query["from"])
        until = time.monotonic() + min(int(query.get("wait_ms", 0)), 30000) / 1000
        with self.lock:
            if query["topic"] not in self.topics and first == 0 and int(query.get("wait_ms", 0)) == 0:
                pass
            topic = self.topics[query["topic"]]
            while len(topic.records) <= first and time.monotonic() < until:
                self.lock.wait(until - time.monotonic())
            found, end = topic.records[first:], len(topic.records)
        body = struct.pack(">QQ", end, 0)
        body += b"".join(struct.pack(">I", len(record)) + record for record in found)
        handler.reply(200, body)

    def pages(self, handler, query):
        with self.lock:
            topic = self.topics[query["topic"]]
            keys = sorted(key for key in topic.newest if key > query.get("after", ""))
            items = [{"key": key, "value": base64.b64encode(topic.newest[key][0]).decode(),
                      "offset": topic.newest[key][1]} for key in keys[:500]]
            handler_body = {"items": items, "has_more": len(keys) > 500, "end": len(topic.records)}
        handler.reply(200, handler_body)

    def put(self, topic, key, value):
        """Writes as the operator or a runner does; None deletes the key. The return is the acknowledgement."""
        text = b"" if value is None else (value if isinstance(value, bytes) else json.dumps(value).encode())
        self.append(topic, [bytes([len(key)]) + key.encode() + text])


class Runner:
    """A runner: lists itself, runs requests, and keeps the parts of prompts under their scope."""

    def __init__(self, store, record, service, name, zone="hame-a", model=None, slots=64):
        self.store, self.record, self.service, self.name, self.zone = store, record, service, name, zone
        self.model, self.slots = model, slots
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.state = "ready"
        self.listed = True
        self.runs = []  # (seconds, request id, tenant, scope, parts found here already and who made them)
        self.parts = {}  # (scope, part) -> tenant of the request that made it
        self.lock = threading.Lock()
        self.stopped = False
        self.behaviour = None  # Called with the handler and the body instead of the usual answer.
        runner = self

        class Api(Handler):
            def do_GET(self):
                if self.path.startswith("/v1/report"):
                    models = [{"name": runner.model, "version": 1, "adapters": []}] if runner.model else []
                    return self.reply(200, {"stage": "prefill_decode", "models": models, "busy": False, "seq": 0,
                                            "born": runner.born, "waiting": 0, "running": 0, "kv_used": 0,
                                            "kv_total": 131597, "handles": 0})
                if self.path == "/health":
                    return self.reply(200, b"", {"X-Endivespan-Instance-Id": runner.name})
                self.do_POST()

            def do_POST(self):
                expected = self.headers.get("X-Endivespan-Expect-Instance")
                if expected not in (None, runner.name):
                    self.body()
                    return self.reply(421, b"", {"X-Endivespan-Instance-Id": runner.name})
                if runner.behaviour:
                    return runner.behaviour(self)
                self.body()
                runner.run(self)

        self.server = serve(Api)
        self.address = "127.0.0.1:%d" % self.server.server_port
        self.beat()
        threading.Thread(target=self.beats, daemon=True).start()

    def entry(self):
        self.seq += 1
        entry = {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
                 "slots": self.slots, "state": self.state, "cold_ms": 0, "seq": self.seq, "born": self.born}
        if self.model:
            entry.update(stage="prefill_decode", models=[{"name": self.model, "version": 1, "adapters": []}])
        return entry

    def beat(self):
        with self.lock:
            if self.listed:
                self.store.put("keyed.servers", self.name, self.entry())

    def beats(self):
        while not self.stopped:
            time.sleep(1.2)
            self.beat()

    def leave_list(self):
        """Removes the entry; the runner goes on serving."""
        with self.lock:
            self.listed = False
            self.store.put("keyed.servers", self.name, None)

    def crash(self):
        """Ends all connections and listens no more; says nothing. Returns False when it has crashed already."""
        with self.lock:
            if self.stopped:
                return False
            self.stopped, self.listed = True, False
        self.server.socket.close()
        for one in list(self.server.open):
            try:
                one.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                one.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        threading.Thread(target=self.server.shutdown, daemon=True).start()
        threading.Timer(3 * 1.2, self.store.put, ("keyed.servers", self.name, None)).start()  # Its entry expires.
        return True

    def run(self, handler):
        fields = handler.headers
        request, tenant = fields.get("X-Endivespan-Request-Id"), fields.get("X-Endivespan-Tenant")
        scope = fields.get("X-Endivespan-Cache-Salt", "")
        found = []
        with self.lock:
            for part in (fields.get("X-Endivespan-Prompt-Prefix") or "").split(","):
                part = part.split(":")[0]
                if not part:
                    continue
                maker = self.parts.setdefault((scope, part), tenant)
                if maker != tenant:
                    found.append((part, maker))
            self.runs.append((self.record.now(), request, tenant, scope, found))
        self.record.line(f"run at={self.name} request={request} tenant={tenant} scope={scope!r} "
                         f"parts_of_others={found}")
        seal = {"X-Endivespan-Request-Id": request, "X-Endivespan-Server-Seal": "3e1b.07.5a2.600.0.c9f2a4d1",
                "X-Endivespan-Instance-Id": self.name}
        if not self.model:
            return handler.reply(200, b"done", seal)
        handler.send_response(200)
        for name, value in {**seal, "Content-Type": "text/event-stream", "X-Endivespan-Weight-Versions": "1",
                            "Transfer-Encoding": "chunked"}.items():
            handler.send_header(name, value)
        handler.end_headers()
        for number in range(1, 4):
            event = b"id: %d\ndata: token\n\n" % number
            handler.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
        handler.wfile.write(b"0\r\n\r\n")
        handler.wfile.flush()


def render(template, fields):
    """Renders a settings template as the platform does, as far as deploy/settings.yaml uses the form."""

    def value(path):
        found = fields
        for name in path.split("."):
            if isinstance(found, list):
                found = found[int(name)] if int(name) < len(found) else None
            else:
                found = found.get(name) if isinstance(found, dict) else None
        return found

    section = re.compile(r"\{\{([#^])([\w.]+)\}\}\n?(.*?)\{\{/\2\}\}\n?", re.S)

    def fill(match):
        present = value(match[2]) not in (None, False)
        return match[3] if present == (match[1] == "#") else ""

    def text(match):
        found = value(match[1])
        if isinstance(found, bool):
            return "true" if found else "false"
        return "" if found is None else str(found)

    return re.sub(r"\{\{([\w.]+)\}\}", text, section.sub(fill, template))


PORTS_TAKEN = set()


def free_ports(count):
    """Ports below those that the system gives to outgoing connections, one of which could take a port meanwhile."""
    ports = []
    while len(ports) < count:
        port = random.randrange(12000, 30000)
        if port in PORTS_TAKEN:
            continue
        with socket.socket() as one:
            try:
                one.bind(("127.0.0.1", port))
            except OSError:
                continue
        PORTS_TAKEN.add(port)
        ports.append(port)
    return ports


class Host:
    """One process of the system."""

    def __init__(self, folder, store, name, zone="hame-a", memory_mb=182):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["host"]
        front, ready, peers, metrics = free_ports(4)
        self.name, self.front, self.ready = name, front, ready
        fields = {"node_name": name, "zone": zone, "region": "hame", "ip": "127.0.0.1", "bootstrap": True,
                  "listen": {"front": f"127.0.0.1:{front}", "ready": f"127.0.0.1:{ready}"},
                  "internal_ports": [peers, peers], "platform": {"address": store.address}, "bounds": BOUNDS,
                  "limits": {"memory_mb": memory_mb}}
        # The platform gives each machine an address of its own; here the ports of the hosts differ instead.
        text = render((ROOT / role["template"]).read_text(), fields).replace("127.0.0.1:7701", f"127.0.0.1:{metrics}")
        self.settings = pathlib.Path(folder) / f"{name}.yaml"
        self.settings.write_text(text)
        self.log = pathlib.Path(folder) / f"{name}.log"
        self.command = role["run"].replace("/etc/endivespan/settings.yaml", str(self.settings)).split()
        self.process = None
        self.start()

    def start(self):
        program = ROOT / self.command[0]
        if not program.exists():
            raise CannotRun(f"{self.command[0]} has not been built")
        self.process = subprocess.Popen(self.command, cwd=ROOT, stdout=self.log.open("ab"), stderr=subprocess.STDOUT)

    def is_ready(self):
        try:
            connection = http.client.HTTPConnection("127.0.0.1", self.ready, timeout=1)
            connection.request("GET", "/v1/ready")
            return connection.getresponse().status == 200
        except OSError:
            return False

    def signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Case:
    """What a script needs; ends all that it started."""

    def __init__(self, script):
        self.record = Record(pathlib.Path(script).resolve().parent)
        self.folder = tempfile.mkdtemp(prefix="review-3-")
        self.store = Store()
        self.hosts, self.runners = [], []
        self.count = 0
        self.lock = threading.Lock()
        self.record.line(f"trouble={'yes' if TROUBLE else 'no'}")

    def host(self, name, **options):
        self.hosts.append(Host(self.folder, self.store, name, **options))
        return self.hosts[-1]

    def runner(self, service, name, **options):
        self.runners.append(Runner(self.store, self.record, service, name, **options))
        return self.runners[-1]

    def configure(self, config):
        self.store.put("keyed.op", "config", config)
        self.record.line(f"acknowledged config version={config['version']} tenants={json.dumps(config.get('tenants'))}")
        return self.record.now()

    def wait_ready(self, patience=20):
        until = time.monotonic() + patience
        while not all(host.is_ready() for host in self.hosts):
            if time.monotonic() > until:
                raise CannotRun("a host does not get ready")
            time.sleep(0.1)

    def ask(self, host, method, path, key=None, fields=None, body=None, timeout=15, deadline_ms=1500, quiet=False):
        """Sends one request on a new channel. Returns its id, when it was sent, and status or None."""
        with self.lock:
            self.count += 1
            request = f"{self.count:016x}"
        headers = {"Host": "pule25.example", "X-Endivespan-Request-Id": request,
                   "X-Endivespan-Deadline-Ms": str(deadline_ms), **(fields or {})}
        if key:
            headers["Api-Key"] = key
        sent = self.record.now()
        status, text = None, b""
        try:
            connection = http.client.HTTPConnection("127.0.0.1", host.front, timeout=timeout)
            connection.request(method, path, body=body, headers=headers)
            answer = connection.getresponse()
            text = answer.read()
            status = answer.status
            connection.close()
        except (OSError, http.client.HTTPException) as problem:
            text = repr(problem).encode()
        if not quiet:
            self.record.line(f"asked host={host.name} request={request} sent={sent:.3f} {method} {path} key={key} "
                             f"answer={status} {text[:60]!r}")
        return request, sent, status

    def ran(self, request):
        return [(runner, run) for runner in self.runners for run in runner.runs if run[1] == request]

    def end(self):
        for host in self.hosts:
            host.end()
        for runner in self.runners:
            runner.stopped = True
        shutil.rmtree(self.folder, ignore_errors=True)


def main(script, play):
    """Runs play(case), which returns the list of what broke the rule. Exits 1 if it broke, 0 if it held, else 2."""
    case = None
    try:
        case = Case(script)
        broken = play(case)
    except Exception as problem:  # Whatever keeps a case from running is no result.
        if case is not None:
            case.record.line(f"could not run: {problem!r}")
            if os.environ.get("RIG_KEEP"):
                for host in case.hosts:
                    shutil.copy(host.log, os.environ["RIG_KEEP"])
        print(f"could not run: {problem!r}", file=sys.stderr)
        code = 2
    else:
        for text in broken:
            case.record.line(f"BROKEN {text}")
        case.record.line("the rule was broken" if broken else "the rule held")
        if os.environ.get("RIG_KEEP"):
            for host in case.hosts:
                shutil.copy(host.log, os.environ["RIG_KEEP"])
        code = 1 if broken else 0
    if case is not None:
        case.end()
    sys.stdout.flush()
    os._exit(code)
