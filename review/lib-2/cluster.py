"""Starts the project's program as the deploy file does, before the stand-ins,
on loopback addresses. Keeps the record of a run."""

import itertools
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback
import urllib.request

from databases import BEAT_S, Service
from store import Store, serve

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = ("caerdydd", "abertawe", "wrecsam", "aberystwyth")
BOUNDS = {"graceS": 6}
CONFIG_APPLY_S, STABLE_S, SKEW_MAX_S, DRAIN_S = 3, 4, 12, 7
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    pass


class Refused(Exception):
    def __init__(self, text):
        self.code = text.split(" ", 1)[0]
        super().__init__(text)


class Session:
    """A client's session."""

    _numbers = itertools.count(1)

    def __init__(self, address, database, timeout=3.0):
        host, port = address.split(":")
        self._socket = socket.create_connection((host, int(port)), timeout)
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._buffer = b""
        self.last_id = ""
        self._send(f"STARTUP {database} u1")
        self._answer()

    def ask(self, text):
        self.last_id = "%016x" % (os.getpid() * 1_000_000 + next(self._numbers))
        self._send(f"QUERY {self.last_id} {text}")
        return self._answer()

    def close(self):
        self._socket.close()

    def _send(self, line):
        self._socket.sendall(line.encode() + b"\r\n")

    def _line(self):
        while b"\r\n" not in self._buffer:
            got = self._socket.recv(65536)
            if not got:
                raise ConnectionResetError("the session was closed")
            self._buffer += got
        line, self._buffer = self._buffer.split(b"\r\n", 1)
        return line.decode()

    def _answer(self):
        rows, error = [], None
        while True:
            word, _, rest = self._line().partition(" ")
            if word == "ROW":
                rows.append(rest)
            elif word == "ERR":
                error = Refused(rest)
                if rest.startswith(("NODB", "NOAUTH")) and not self.last_id:
                    raise error
            elif word == "READY":
                if error:
                    raise error
                return rows


# Below the ports that the kernel gives to outgoing connections: a port has to
# be free still when its process starts again.
_candidates = iter(range(15000 + os.getpid() % 500 * 32, 32768))


def free_ports(count):
    """Finds successive ports that nobody listens on."""
    ports = []
    for port in _candidates:
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                ports = []
                continue
        ports.append(port)
        if len(ports) == count:
            return ports
    raise CannotRun("no free ports")


class Instance:
    """One machine: its settings and its process."""

    def __init__(self, world, number):
        self.world, self.name = world, f"front-{ZONES[number % 4]}-{number + 1}"
        front, ready, metrics, pair, _ = free_ports(5)
        self.address = f"127.0.0.1:{front}"
        self.ready_address = f"127.0.0.1:{ready}"
        values = {"node": self.name, "zone": ZONES[number % 4],
                  "ip": "127.0.0.1",
                  "listen": {"front": self.address,
                             "ready": self.ready_address},
                  "portRange": [pair, metrics],
                  "platform": {"addr": world.store_address},
                  "cloud": {"addr": world.store_address},
                  "limits": {"cpuShare": 0.5, "memoryMb": 520},
                  "bounds": BOUNDS}

        def value(found):
            at = values
            for part in found.group(1).split("."):
                at = at[int(part)] if isinstance(at, list) else at[part]
            return str(at)
        template = (ROOT / "platform/settings.template").read_text()
        self.settings = world.folder / f"{self.name}.json"
        self.settings.write_text(re.sub(r"{{([\w.]+)}}", value, template))
        self.log = world.folder / f"{self.name}.log"
        self.process = None

    def start(self):
        program = ROOT / "target/platform/marjoramslip-platform"
        if not program.exists():
            raise CannotRun("target/ is not built")
        piped = self.world.reader is not None
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [str(program)], cwd=ROOT,
                stdout=subprocess.PIPE if piped else log,
                stderr=subprocess.STDOUT if piped else log,
                env={"PATH": os.environ["PATH"], "HOME": "/tmp",
                     "LANG": "C.UTF-8",
                     "MARJORAMSLIP_BOOT": str(self.settings)})
        if piped:
            threading.Thread(target=self._read_log, daemon=True).start()

    def _read_log(self):
        """The platform's reader of what the process writes."""
        pipe = self.process.stdout.fileno()
        with self.log.open("ab") as log:
            while True:
                self.world.reader.wait()
                data = os.read(pipe, 65536)
                if not data:
                    return
                log.write(data)

    def ready(self):
        try:
            url = f"http://{self.ready_address}/api/readyz"
            with urllib.request.urlopen(url, timeout=1) as answer:
                return answer.status == 200
        except OSError:
            return False

    def logged(self, event):
        found = []
        for line in self.log.read_text(errors="replace").splitlines():
            if f'"event":"{event}"' in line:
                found.append(json.loads(line))
        return found


class World:
    """The stand-ins and the instances of a run."""

    def __init__(self, case, instances=5, services=3, sync=0, piped=False):
        self.case = pathlib.Path(case)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.began = time.monotonic()
        self._record = (self.case / "record.txt").open("w")
        self._record_lock = threading.Lock()
        # Logs go through pipes; their readers rest while this is not set.
        self.reader = threading.Event() if piped else None
        if piped:
            self.reader.set()
        self.store = Store()
        self.promotions = []  # (seconds, holder, fence, service, id, status)
        self.services = [Service(f"ledger{n}", ZONES[:3], self.note, sync)
                         for n in range(services)]
        self.store_address = serve(self.store, self._promote)
        self.version = 0
        self.configure(3)
        self.running = True
        threading.Thread(target=self._beats, daemon=True).start()
        self.instances = [Instance(self, n) for n in range(instances)]

    def seconds(self):
        return time.monotonic() - self.began

    def note(self, what, text):
        with self._record_lock:
            if not self._record.closed:
                self._record.write(f"{self.seconds():8.3f} s  {what}: {text}\n")
                self._record.flush()

    def _promote(self, body, headers):
        holder = headers.get("X-Duty-Holder", "")
        fence = int(headers.get("X-Fence-Token", "0"))
        service = next((s for s in self.services
                        if s.name == body["service"]), None)
        status = service.promote(body["id"]) if service else 409
        self.promotions.append((self.seconds(), holder, fence, body["service"],
                                body["id"], status))
        self.note("promote", f"holder {holder} fence {fence} {body['id']} "
                  f"-> {status}")
        return status, {}

    def _beats(self):
        while self.running:
            for service in self.services:
                for one in service.databases:
                    with service.lock:
                        service.advance()
                    if one.running:
                        one.beat(self.store)
                    elif (one.said and time.monotonic() - one.written >
                          3 * BEAT_S and
                          self.store.remove("servers/" + one.id)):
                        one.said = None
            time.sleep(0.02)

    def configure(self, version, more_routes=()):
        """Writes a whole configuration; returns the acknowledged revision."""
        routes = []
        for service in self.services:
            for host, kind, more in (
                    ("w", "primary", {}),
                    ("o", "read_your_writes", {"maxStalenessMs": 2500}),
                    ("b", "bounded_staleness", {"maxStalenessMs": 1500})):
                routes.append({"name": f"r-{host}-{service.name}",
                               "host": f"{host}-{service.name}",
                               "prefix": "/", "type": kind, "timeoutMs": 1500,
                               "goalMs": 250, "priority": 1, "attempts": 2,
                               "service": service.name, **more})
        for host, service in more_routes:
            routes.append({"name": "r-" + host, "host": host, "prefix": "/",
                           "type": "primary", "timeoutMs": 1500, "goalMs": 250,
                           "priority": 1, "attempts": 2, "service": service})
        text = json.dumps({
            "version": version, "routes": routes,
            "services": [{"name": s.name, "maxConns": 23, "syncReplicas": s.sync}
                         for s in self.services],
            "limits": {"txIdleMs": 3000}}).encode()
        revision = self.store.put("op/config", text)
        if revision is not None:
            self.version = version
            self.note("config", f"version {version} acknowledged at revision "
                      f"{revision}")
        return revision

    def start(self):
        for instance in self.instances:
            instance.start()
        self.await_service(30)
        self.note("start", f"{len(self.instances)} instances serve")

    def await_service(self, limit):
        """Returns once every instance accepts a write for every service."""
        end = time.monotonic() + limit
        for instance in self.instances:
            for service in self.services:
                while not self.write(instance, service, quiet=True):
                    if time.monotonic() > end:
                        raise CannotRun(f"{instance.name} does not serve "
                                        f"{service.name}")
                    time.sleep(0.1)

    def write(self, instance, service, quiet=False, item="probe", data="1"):
        """One write in a session of its own; true if it was accepted."""
        answer = "accepted"
        try:
            session = Session(instance.address, f"w-{service.name}")
            try:
                session.ask(f"WRITE {item} {data}")
            finally:
                session.close()
        except (Refused, OSError) as error:
            answer = str(error)
        if not quiet:
            self.note("write", f"{service.name} by {instance.name}: {answer}")
        return answer == "accepted"

    def duty_holder(self):
        """The instance that the store lists as the holder of the duty."""
        for _, item in self.store.find("duty"):
            name = item[0].decode().rsplit(" ", 1)[0]
            for instance in self.instances:
                if instance.name == name:
                    return instance
        return None

    def wait(self, what, condition, limit):
        end = time.monotonic() + limit
        while not condition():
            if time.monotonic() > end:
                raise CannotRun(f"not within {limit} s: {what}")
            time.sleep(0.02)

    def drill(self, age_s, away_s):
        """The store is away, and comes back from a copy some seconds old."""
        self.store.leave()
        self.note("drill", "the store is away")
        time.sleep(away_s)
        lost, now = self.store.come_back(age_s)
        self.note("drill", f"the store is back from a copy {age_s} s old, "
                  f"revision {lost} went back, now {now}, era {self.store.era}")

    def stop(self):
        self.running = False
        for instance in self.instances:
            if instance.process and instance.process.poll() is None:
                instance.process.send_signal(signal.SIGCONT)
                instance.process.kill()
        for instance in self.instances:
            if instance.process:
                instance.process.wait(10)
        self.note("end", "all processes are gone")
        self._record.close()
        if os.environ.get("KEEP_LOGS"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def run_case(case, scenario, **options):
    """Runs a scenario, which returns the breaks that it has seen. The exit
    code is 0 if there are none, 1 if there are, 2 if the case can't run."""
    world = None
    try:
        world = World(case, **options)
        world.start()
        breaks = scenario(world)
        for text in breaks:
            world.note("BROKEN", text)
            print("BROKEN", text)
        if not breaks:
            world.note("held", "the rule held")
            print("held")
        return 1 if breaks else 0
    except CannotRun as why:
        print("cannot run:", why)
        return 2
    except Exception:  # A fault of the case itself must not count as a break.
        traceback.print_exc()
        return 2
    finally:
        if world:
            world.stop()


def main(scenario, **options):
    # At the time limit of run.sh: the processes are ended first.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    code = run_case(pathlib.Path(sys.argv[1]), scenario, **options)
    sys.stdout.flush()
    os._exit(code)
