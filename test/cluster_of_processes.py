"""Starts and stops the processes of a small cluster on the loopback.

Every process is ended by the handle that started it, every port is chosen by
the system, and every wait has a limit.
"""

import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.request

from simple_client import Connection, QueryError

ROOT = pathlib.Path(__file__).resolve().parent.parent
START_LIMIT_S = 15
STOP_LIMIT_S = 25
GROUP = "ledger-1"
SERVICE = "tollau-ledger"
DOMAINS = ("caerdydd", "abertawe", "wrecsam", "aberystwyth")


class ClusterError(Exception):
    """Something did not start, or did not happen in time."""


# Ports below those that the kernel hands out by itself: one of these, freed
# here and not yet taken by its process, could be given to another scenario's.
FIRST_PORT = 15000
PORTS_OF_A_PROCESS = 32
PROCESSES = 500
END_OF_PORTS = 32768
_candidates = iter(
    range(FIRST_PORT + os.getpid() % PROCESSES * PORTS_OF_A_PROCESS,
          END_OF_PORTS))


def free_ports(count):
    """Finds ports that nobody listens on; scenarios that run side by side look
    in different places."""
    ports = []
    for port in _candidates:
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        ports.append(port)
        if len(ports) == count:
            return ports
    raise ClusterError("no free ports are left")


def free_port_pair():
    """Returns the first of two successive ports that nobody listens on."""
    first, second = free_ports(2)
    while second != first + 1:
        first, second = second, free_ports(1)[0]
    return first


def wait_until(what, condition, limit=START_LIMIT_S, step=0.05):
    """Waits for a condition; returns its value."""
    deadline = time.monotonic() + limit
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(step)
    raise ClusterError(f"not within {limit} s: {what}")


def post(address, order):
    """Sends a JSON order to a control address."""
    request = urllib.request.Request(
        f"http://{address}/control", json.dumps(order).encode(), method="POST")
    with urllib.request.urlopen(request, timeout=5) as answer:
        return json.load(answer)


def fetch(address, path):
    """Reads a page as text."""
    with urllib.request.urlopen(f"http://{address}{path}", timeout=5) as answer:
        return answer.read().decode()


def limited(command, descriptors):
    """The command under a limit of open descriptors; unchanged for None."""
    if descriptors is None:
        return command
    start = ("import os, resource, sys; n = int(sys.argv[1]); "
             "resource.setrlimit(resource.RLIMIT_NOFILE, (n, n)); "
             "os.execv(sys.argv[2], sys.argv[2:])")
    return [sys.executable, "-c", start, descriptors, *command]


class Process:
    """One process: its handle, its output and its end."""

    def __init__(self, name, command, folder, variables=None):
        self.name = name
        self.log = pathlib.Path(folder) / f"{name}.log"
        with self.log.open("ab") as log:
            self._handle = subprocess.Popen(
                [str(each) for each in command], stdout=subprocess.PIPE,
                stderr=log, text=True, start_new_session=True,
                env={**os.environ, **(variables or {})})
        self._lines = []
        self._reading = threading.Event()
        self._reading.set()
        self._reader = threading.Thread(target=self._read, daemon=True)
        self._reader.start()

    @property
    def pid(self):
        return self._handle.pid

    def running(self):
        return self._handle.poll() is None

    def announced(self, word):
        """The rest of the first line of output that starts with `word`."""
        def found():
            if not self.running():
                raise ClusterError(f"{self.name} ended: {self.log_tail()}")
            return next((line[len(word) + 1:] for line in list(self._lines)
                         if line.startswith(word + " ")), None)
        return wait_until(f"{self.name} says '{word}'", found)

    def silent(self):
        """True if it has not written a line."""
        return not self._lines

    def kill(self):
        """The crash."""
        self._handle.kill()
        self._handle.wait(STOP_LIMIT_S)

    def stop_reading(self):
        """From now on nothing reads its standard output."""
        self._reading.clear()

    def pause(self):
        self._handle.send_signal(signal.SIGSTOP)

    def resume(self):
        self._handle.send_signal(signal.SIGCONT)

    def stop(self):
        """Asks it to end; kills it only if it does not. The exit code."""
        if self.running():
            self.resume()
            self._handle.terminate()
            try:
                self._handle.wait(STOP_LIMIT_S)
            except subprocess.TimeoutExpired:
                self.kill()
        return self._handle.returncode

    def log_tail(self, count=12):
        return "\n".join(self.log.read_text(errors="replace").splitlines()[-count:])

    def _read(self):
        with self.log.open("a") as log:
            for line in self._handle.stdout:
                self._reading.wait()
                self._lines.append(line.rstrip("\n"))
                log.write(line)
                log.flush()


class Database(Process):
    """A database stand-in."""

    def __init__(self, name, build, folder, port, peers, primary, options):
        self.address = f"127.0.0.1:{port}"
        command = [build / "tools/standin", "database", "--name", name,
                   "--port", port, "--group-size-peers", ",".join(peers)]
        for key, value in options.items():
            command += [f"--{key}", value]
        if primary:
            command.append("--primary")
        super().__init__(name, command, folder)
        self.announced("listening")
        self.control = self.announced("control")

    def state(self):
        """(term, log_term, position, role), or None if it does not answer."""
        try:
            with Connection(self.address, "status", timeout=1.0) as link:
                text = link.value("SELECT group_status()")
        except (OSError, QueryError):
            return None
        term, log_term, position, role = text.split("/")
        return int(term), int(log_term), int(position), role

    def order(self, **order):
        return post(self.control, order)


class Instance(Process):
    """A marjoramslip process."""

    def __init__(self, name, build, folder, settings, descriptors=None):
        self.settings_file = pathlib.Path(folder) / f"{name}.json"
        self.settings_file.write_text(json.dumps(settings, indent=2))
        self.address = "127.0.0.1:%d" % settings["callers"]["port"]
        self.metrics = "127.0.0.1:%d" % settings["metrics"]["port"]
        super().__init__(
            name, limited([build / "tools/marjoramslip", "serve", "--config",
                           self.settings_file], descriptors), folder)


class Load(Process):
    """A run of load."""

    def __init__(self, command, folder, figures):
        self._figures = figures
        super().__init__("load", command, folder)

    def finish(self, limit):
        """Waits for its end; whether all promises held, and the figures."""
        wait_until("load ends", lambda: not self.running(), limit)
        self._reader.join(STOP_LIMIT_S)
        held = self._handle.returncode == 0
        figures = {}
        if self._figures.exists():
            figures = json.loads(self._figures.read_text())
        return held, figures


class Cluster:
    """A key-value service, a group of three databases and some instances."""

    def __init__(self, build=None, instances=2, database_options=None,
                 settings=None, descriptors=None):
        self.build = pathlib.Path(build or ROOT / "build")
        self.folder = tempfile.mkdtemp(prefix="marjoramslip-")
        self.kv = None
        self.databases = []
        self.instances = []
        self._instance_count = instances
        self._database_options = database_options or {}
        self._settings = settings or {}
        self._descriptors = descriptors
        self._ports = []
        self._others = []
        self._discards = False

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stop()

    def start(self):
        """Starts everything; returns when a write is accepted."""
        self.start_kv()
        self.start_databases()
        self.apply_note()
        for number in range(self._instance_count):
            self.start_instance(number)
        for instance in self.instances:
            wait_until(f"{instance.name} serves", lambda: self.serves(instance))

    def start_kv(self):
        self.kv = Process("kv", [self.build / "tools/standin", "kv"], self.folder)
        self.kv_address = self.kv.announced("listening")

    def start_databases(self):
        self._ports = free_ports(3)
        for number in range(3):
            self.databases.append(self.make_database(number, number == 0))
        wait_until("replicas have caught up", lambda: all(
            (each.state() or (0, 0))[1] > 0 for each in self.databases))

    def make_database(self, number, primary=False):
        """Starts a database, anew if it has been there before."""
        peers = [f"127.0.0.1:{port}" for port in self._ports
                 if port != self._ports[number]]
        return Database(f"db-{number + 1}", self.build, self.folder,
                        self._ports[number], peers, primary,
                        self._database_options)

    def restart_database(self, database):
        """A database that crashed comes back empty."""
        number = self.databases.index(database)
        self.databases[number] = self.make_database(number)
        return self.databases[number]

    def note(self):
        """The release note that declares the service and its group."""
        endpoints = [
            {"name": each.name, "host": "127.0.0.1",
             "port": int(each.address.rsplit(":", 1)[1]),
             "failure_domain": domain}
            for each, domain in zip(self.databases, DOMAINS)]
        return {"base": 0, "author": "demo", "summary": "declare the ledger",
                "put": [{"name": SERVICE, "groups": [
                    {"name": GROUP, "endpoints": endpoints}]}]}

    def apply_note(self):
        note = pathlib.Path(self.folder) / "note.json"
        note.write_text(json.dumps(self.note(), indent=2))
        done = subprocess.run(
            [self.build / "tools/marjoramslip", "note", "apply", note,
             "--kv", f"http://{self.kv_address}"],
            capture_output=True, text=True, timeout=START_LIMIT_S)
        if done.returncode != 0:
            raise ClusterError(f"note apply: exit {done.returncode}: "
                               f"{done.stdout}{done.stderr}")

    def settings_of(self, name, number):
        callers, peers, metrics = free_ports(3)
        return {"name": name, "failure_domain": DOMAINS[number % len(DOMAINS)],
                "callers": {"host": "127.0.0.1", "port": callers},
                "peers": {"host": "127.0.0.1", "port": peers},
                "metrics": {"host": "127.0.0.1", "port": metrics},
                "key_value_service": [f"http://{self.kv_address}"],
                **self._settings}

    def start_instance(self, number):
        name = f"instance-{number + 1}"
        instance = Instance(name, self.build, self.folder,
                            self.settings_of(name, number),
                            self._descriptors)
        self.instances.append(instance)
        return instance

    def serves(self, instance):
        """True once the instance serves a read of the service."""
        if not instance.running():
            raise ClusterError(f"{instance.name} ended: {instance.log_tail()}")
        try:
            with Connection(instance.address, SERVICE, timeout=1.0) as link:
                return link.value("SELECT 1") == "1"
        except (OSError, QueryError):
            return False

    def restart_instance(self, instance):
        """Starts an instance again with the settings it had."""
        at = self.instances.index(instance)
        settings = json.loads(instance.settings_file.read_text())
        self.instances[at] = Instance(instance.name, self.build, self.folder,
                                      settings)
        return self.instances[at]

    def order_kv(self, **order):
        return post(self.kv_address, order)

    def primary(self):
        """The running database that is primary at the highest term."""
        states = [(each.state(), each) for each in self.databases
                  if each.running()]
        found = [(state, each) for state, each in states
                 if state and state[3] == "primary"]
        return max(found, key=lambda pair: pair[0][0])[1] if found else None

    def load(self, seconds, **options):
        """Starts load on all instances; returns when its callers ask."""
        figures = pathlib.Path(self.folder) / "figures.json"
        command = [self.build / "tools/load", "--seconds", seconds,
                   "--target", ",".join(each.address for each in self.instances),
                   "--metrics", ",".join(each.metrics for each in self.instances),
                   "--service", SERVICE, "--json", figures,
                   "--history", pathlib.Path(self.folder) / "history.csv"]
        for key, value in options.items():
            command += ["--" + key.replace("_", "-"), value]
        running = Load(command, self.folder, figures)
        self._others.append(running)
        running.announced("started")
        return running

    def stop(self):
        """Ends every process that was started here; all are waited for."""
        everything = self._others + self.instances + self.databases
        everything += [self.kv] if self.kv else []
        codes = {each.name: each.stop() for each in everything}
        if self._discards:
            shutil.rmtree(self.folder, ignore_errors=True)
        return codes

    def discard_logs_at_end(self):
        """The logs are of no use: remove them once all has ended."""
        self._discards = True
