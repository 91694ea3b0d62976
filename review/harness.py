"""Starts instances of the deploy file's program for the scripts of the review."""

import asyncio
import inspect
import os
import pathlib
import re
import signal
import socket
import sys
import tempfile
import traceback
import urllib.request

import standin

ROOT = pathlib.Path(__file__).resolve().parent.parent
PROGRAM = ROOT / "target/platform/marjoramslip-platform"


class CannotRun(Exception):
    """The case couldn't be set up."""


def free_ports(count):
    held = [socket.socket() for _ in range(count)]
    for one in held:
        one.bind(("127.0.0.1", 0))
    ports = [one.getsockname()[1] for one in held]
    for one in held:
        one.close()
    return ports


class Instance:
    """A process with settings rendered from the project's template."""

    def __init__(self, world, folder, name, zone):
        front, ready, peers, metrics = free_ports(4)
        self.name, self.front = name, f"127.0.0.1:{front}"
        self.ready_url = f"http://127.0.0.1:{ready}/api/readyz"
        values = {
            "node": name, "zone": zone, "ip": "127.0.0.1",
            "listen.front": self.front, "listen.ready": f"127.0.0.1:{ready}",
            "portRange.0": peers, "portRange.1": metrics,
            "limits.cpuShare": 0.5, "limits.memoryMb": 512,
            "platform.addr": world.store_address,
            "cloud.addr": world.cloud_address, "bounds.graceS": 6}
        template = (ROOT / "platform/settings.template").read_text()
        settings = pathlib.Path(folder) / f"{name}.json"
        settings.write_text(re.sub(
            r"{{([\w.]+)}}", lambda found: str(values[found.group(1)]), template))
        self._log = open(pathlib.Path(folder) / f"{name}.log", "w")
        self._settings = settings
        self.process = None

    async def start(self):
        self.process = await asyncio.create_subprocess_exec(
            str(PROGRAM), cwd=ROOT, stdout=self._log, stderr=self._log,
            env={"PATH": os.environ["PATH"], "MARJORAMSLIP_BOOT": str(self._settings)})

    def ready(self):
        try:
            with urllib.request.urlopen(self.ready_url, timeout=1) as answer:
                return answer.status == 200
        except OSError:
            return False

    def send(self, number):
        self.process.send_signal(number)

    async def end(self):
        if self.process is None or self.process.returncode is not None:
            return
        self.process.send_signal(signal.SIGCONT)
        self.process.kill()
        await self.process.wait()


class Refused(Exception):
    """ERR: its code and text."""


class Client:
    """A session through an instance."""

    _count = 0

    def __init__(self, record, name):
        self.record, self.name, self.sent = record, name, []

    async def open(self, address, database):
        host, port = address.split(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port))
        self.writer.write(f"STARTUP {database} {self.name}\r\n".encode())
        await self._answer()

    async def ask(self, text):
        Client._count += 1
        ident = f"{Client._count:016x}"
        self.sent.append((ident, text))
        self.record.add(f"{self.name} sends {ident} {text!r}")
        self.writer.write(f"QUERY {ident} {text}\r\n".encode())
        return await self._answer()

    def close(self):
        self.writer.close()

    async def _answer(self):
        rows, error = [], None
        while True:
            line = (await asyncio.wait_for(
                self.reader.readuntil(b"\r\n"), 5)).decode().rstrip("\r\n")
            self.record.add(f"{self.name} gets {line!r}")
            if line.startswith("ROW "):
                rows.append(line[4:])
            elif line.startswith("ERR "):
                error = Refused(line[4:])
                if not self.sent:
                    raise error
            elif line.startswith("READY "):
                if error:
                    raise error
                return rows


async def until(what, holds, limit_s=20.0):
    for _ in range(int(limit_s / 0.05)):
        result = holds()
        if inspect.isawaitable(result):
            result = await result
        if result:
            return
        await asyncio.sleep(0.05)
    raise CannotRun(f"not in time: {what}")


async def serves(record, instance, service):
    """True once a write through the instance is acknowledged."""
    client = Client(record, f"probe-{instance.name}")
    try:
        await client.open(instance.front, f"{service}db")
        await client.ask("WRITE probe 1")
        return True
    except (Refused, OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return False
    finally:
        if hasattr(client, "writer"):
            client.close()


async def start_all(started, folder, world, count):
    """Starts the world and instances; adds these to `started`."""
    await world.start()
    instances = [Instance(world, folder, f"front-{number + 1}", zone)
                 for number, zone in zip(range(count), ("east", "west", "north"))]
    for one in instances:
        started.append(one)
        await one.start()
    return instances


async def wait_for_service(record, world, instances):
    loop = asyncio.get_running_loop()
    for one in instances:
        await until(f"{one.name} is ready",
                    lambda one=one: loop.run_in_executor(None, one.ready))
        for service in world.services:
            await until(f"{one.name} serves {service}",
                        lambda one=one, s=service: serves(record, one, s))


def run(case, folder):
    """Runs `case(record, started, folder)`, which returns True if the rule was
    broken; it gets a list of what to end and a temporary folder. Exits with 1 if
    the rule was broken, 0 if not, 2 if the case couldn't run."""
    record = standin.Record(pathlib.Path(folder) / "record.txt")

    async def whole():
        started = []
        with tempfile.TemporaryDirectory(prefix="marjoramslip-review-") as temporary:
            try:
                return await asyncio.wait_for(case(record, started, temporary), 100)
            finally:
                for one in started:
                    await one.end()

    if not PROGRAM.exists():
        record.add("the program isn't built")
        sys.exit(2)
    try:
        broken = asyncio.run(whole())
    except Exception:  # Whatever it is, the case couldn't run.
        record.add("could not run: " + traceback.format_exc())
        traceback.print_exc()
        sys.exit(2)
    record.add("the rule was broken" if broken else "the rule held")
    print("broken" if broken else "held")
    sys.exit(1 if broken else 0)
