"""Starts the platform's stand-in and instances of the program that runs on
the users' platform, on the loopback."""

import copy
import json
import pathlib
import re
import shutil
import tempfile
import urllib.error

from cluster_of_processes import (
    ROOT, ClusterError, Process, fetch, free_port_pair, free_ports, limited,
    post, wait_until)
from line_client import Refused, Session

SERVICE = "ledger"
# The names that sessions connect to, by what reads there may miss.
PRIMARY, OWN_WRITES, BOUNDED = "filing", "balance", "report"
ZONES = ("east", "west", "north")
LEAVING_S = 6


def route(name, kind, **more):
    return {"name": f"r-{name}", "host": name, "prefix": "/", "type": kind,
            "timeoutMs": 1000, "goalMs": 200, "priority": 1,
            "service": SERVICE, "attempts": 2, **more}


def configuration(version):
    """A configuration whole, as operators write it."""
    return {
        "version": version,
        "routes": [
            route(PRIMARY, "primary"),
            route(OWN_WRITES, "read_your_writes", maxStalenessMs=2500),
            route(BOUNDED, "bounded_staleness", maxStalenessMs=1500)],
        "services": [{"name": SERVICE, "healthPath": "/healthz",
                      "maxConns": 23, "protocol": "h1", "tls": False,
                      "syncReplicas": 0}],
        "limits": {"headerBytes": 16384, "bodyBytes": 262144,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
                   "txIdleMs": 3000}}


def render(template, values):
    """Fills in a settings template."""
    def value(found):
        at = values
        for part in found.group(1).split("."):
            at = at[int(part)] if isinstance(at, list) else at[part]
        return str(at)
    return re.sub(r"{{([\w.]+)}}", value, template)


class Platform(Process):
    """The stand-in of the platform."""

    def __init__(self, build, folder, options):
        command = [build / "tools/standin", "platform", "--service", SERVICE]
        for key, value in options.items():
            command += [f"--{key}", value]
        super().__init__("platform", command, folder)
        self.address = self.announced("listening")

    def order(self, **order):
        return post(self.address, order)

    def databases(self):
        return json.loads(fetch(self.address, "/control/databases"))["databases"]

    def crash_primary(self):
        """Crashes the primary once replicas have received its commits: they
        are received later than acknowledged, and what only a dead primary
        has is lost. What the primary was."""
        wait_until("replicas have received all", lambda: len(
            {each["received"] for each in self.databases()}) == 1)
        old = self.primary()
        self.order(database=old["id"], order="crash")
        return old

    def promotion_calls(self):
        """The databases that promotion calls have named, in order."""
        return json.loads(
            fetch(self.address, "/control/databases"))["promotion_calls"]

    def promotion_duties(self):
        """The holder and the fence of each promotion call, in order."""
        return [(each["holder"], each["fence"]) for each in json.loads(
            fetch(self.address, "/control/databases"))["promotion_duties"]]

    def repeated_answers(self):
        """How many answers the databases have sent twice."""
        return json.loads(
            fetch(self.address, "/control/databases"))["repeated_answers"]

    def runs(self):
        """Statements that databases ran and kept, in order."""
        return json.loads(fetch(self.address, "/control/runs"))["runs"]

    def primary(self):
        """The running primary of the highest term, or None."""
        found = [each for each in self.databases()
                 if each["primary"] and each["running"]]
        return max(found, key=lambda each: each["term"], default=None)


class PlatformInstance(Process):
    """A process of the platform's executable."""

    def __init__(self, name, zone, platform, build, folder, store=None,
                 memory_mb=160, descriptors=None):
        callers, ready, metrics = free_ports(3)
        peers = free_port_pair()
        self.metrics_address = f"127.0.0.1:{metrics}"
        self._descriptors = descriptors
        self.peer_address = f"127.0.0.1:{peers}"
        self.address = f"127.0.0.1:{callers}"
        self.ready_address = f"127.0.0.1:{ready}"
        self.metrics_address = f"127.0.0.1:{metrics}"
        self.settings_file = pathlib.Path(folder) / f"{name}.json"
        template = (ROOT / "platform/settings.template").read_text()
        self.settings_file.write_text(render(template, {
            "node": name, "zone": zone, "ip": "127.0.0.1",
            "listen": {"front": self.address, "ready": self.ready_address},
            "portRange": [peers, metrics],
            "platform": {"addr": store or platform.address},
            "cloud": {"addr": platform.address},
            "limits": {"cpuShare": 0.5, "memoryMb": memory_mb},
            "bounds": {"graceS": LEAVING_S}}))
        self._executable = build / "platform/marjoramslip-platform"
        self._folder = folder
        self._launch(name)

    def _launch(self, name):
        super().__init__(name, limited([self._executable], self._descriptors),
                         self._folder,
                         {"MARJORAMSLIP_BOOT": str(self.settings_file)})

    def started_again(self):
        """A new process under the same settings; its log goes on."""
        again = copy.copy(self)
        again._launch(self.name)
        return again

    def ready(self):
        if not self.running():
            raise ClusterError(f"{self.name} ended: {self.log_tail()}")
        try:
            fetch(self.ready_address, "/api/readyz")
            return True
        except (OSError, urllib.error.HTTPError):
            return False

    def logged(self, event):
        """The log lines of an event."""
        lines = []
        for line in self.log.read_text(errors="replace").splitlines():
            try:
                fields = json.loads(line)
            except ValueError:
                continue
            if fields.get("event") == event:
                lines.append(fields)
        return lines

    def serves(self):
        """True once a write is accepted through it."""
        try:
            with Session(self.address, PRIMARY, timeout=2.0) as session:
                session.ask("WRITE probe 1")
            return True
        except (OSError, Refused):
            return False


class PlatformCluster:
    """The platform and some instances."""

    def __init__(self, build=None, instances=2, platform_options=None,
                 **instance_options):
        self.build = pathlib.Path(build or ROOT / "build")
        self.folder = tempfile.mkdtemp(prefix="marjoramslip-")
        self.platform = None
        self.instances = []
        self._count = instances
        self._options = platform_options or {}
        self._instance_options = instance_options
        self._discards = False

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stop()

    def start(self):
        """Starts everything; returns when writes are accepted everywhere."""
        self.platform = Platform(self.build, self.folder, self._options)
        self.configure(configuration(3))
        for _ in range(self._count):
            self.start_instance()
        for each in self.instances:
            wait_until(f"{each.name} is ready", each.ready)
            wait_until(f"{each.name} serves", each.serves)

    def configure(self, value):
        self.platform.order(config=value)

    def start_instance(self):
        number = len(self.instances)
        instance = PlatformInstance(
            f"instance-{number + 1}", ZONES[number % len(ZONES)],
            self.platform, self.build, self.folder,
            **self._instance_options)
        self.instances.append(instance)
        return instance

    def restart_instance(self, number):
        """Starts an instance that has ended again, under its settings."""
        self.instances[number] = self.instances[number].started_again()

    def stop(self):
        """Ends every process that was started here; all are waited for."""
        everything = self.instances + ([self.platform] if self.platform else [])
        codes = {each.name: each.stop() for each in everything}
        if self._discards:
            shutil.rmtree(self.folder, ignore_errors=True)
        return codes

    def discard_logs_at_end(self):
        """The logs are of no use: remove them once all has ended."""
        self._discards = True


def run_scenario(scenario, cluster):
    """Runs a scenario on its cluster; whether it went as it must."""
    print(f"{scenario.__name__}: {scenario.__doc__}", flush=True)
    with cluster:
        try:
            cluster.start()
            scenario(cluster)
        except (ClusterError, Refused, OSError) as error:
            print(f"    FAILED: {error}\n    logs: {cluster.folder}")
            return False
        cluster.discard_logs_at_end()
    print("    ok")
    return True
