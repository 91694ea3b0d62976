#!/usr/bin/env python3
"""Real processes behind loopback proxies, on the platform's stand-in: what an
instance does that others do not reach while the primary is replaced.

Usage: platform_cuts.py [--build FOLDER] [--list] [SCENARIO...]
"""

import sys
import threading
import time

sys.dont_write_bytecode = True

from cluster_of_processes import wait_until  # noqa: E402
from line_client import Refused, Session  # noqa: E402
from loopback_proxy import Network, Proxies  # noqa: E402
from platform_cluster import (  # noqa: E402
    PRIMARY, ZONES, PlatformCluster, PlatformInstance, run_scenario)
from platform_path import expect, replaced, write  # noqa: E402
from scenarios import run_chosen  # noqa: E402

# As long as the users' databases take for a promotion.
PROMOTION_MS = 600
# How long the other replicas stay in the old term after that.
FOLLOW_MS = 300
ROUNDS = 3
WRITERS = 3
# How long traffic goes on after the promotion has taken effect.
AFTER_S = 2.0
RETRY_PAUSE_S = 0.05


class ProxiedCluster(PlatformCluster):
    """Each instance reaches the store, databases and others by own links."""

    def __init__(self, build, platform_options=None):
        super().__init__(build, instances=3,
                         platform_options={"promotion-ms": PROMOTION_MS,
                                           "follow-ms": FOLLOW_MS,
                                           **(platform_options or {})})
        self.network = Network()
        self.proxies = []

    def start_instance(self):
        number = len(self.instances)
        name = f"instance-{number + 1}"
        links = Proxies(self.network, name, self.platform.address)
        self.proxies.append(links)
        self.instances.append(PlatformInstance(
            name, ZONES[number % len(ZONES)],
            self.platform, self.build, self.folder, links.store.address))

    def holder(self):
        """The number of the instance that took the duty last."""
        taken = [(line["text"], number)
                 for number, each in enumerate(self.instances)
                 for line in each.logged("duty.taken")]
        return max(taken, key=lambda one: int(one[0].split()[-1]))[1]

    def isolate(self, number, cut):
        """Cuts an instance off the store and the other instances."""
        self.proxies[number].cut_store(cut)
        for other, each in enumerate(self.instances):
            if other != number:
                self.proxies[number].cut_peer(each.peer_address, cut)
                self.proxies[other].cut_peer(
                    self.instances[number].peer_address, cut)


class Repeated:
    """Actions that are repeated without a pause, until they are stopped."""

    def __init__(self, work):
        """Each of `work`: an action, its instance and its number."""
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._repeat, args=one) for one in work]
        for each in self._threads:
            each.start()

    def stop(self):
        self._stopped.set()
        for each in self._threads:
            each.join()

    def _repeat(self, action, instance, number):
        count = 0
        while not self._stopped.is_set():
            count += 1
            try:
                action(instance, number, count)
            except (OSError, Refused):
                time.sleep(RETRY_PAUSE_S)


class Traffic(Repeated):
    """Writes and reads through an isolated instance and another."""

    def __init__(self, isolated, other, label):
        self.writes = []  # (sent at, item, verdict), through the isolated one.
        self.reads = []  # (sent at, value), through the isolated one.
        self.acknowledged = []  # (answered at, value), through the other one.
        self._label = label
        work = [(self._write, isolated, n) for n in range(WRITERS)]
        work += [(self._count, other, 0), (self._read, isolated, 0)]
        super().__init__(work)

    def _write(self, instance, number, count):
        name = f"{self._label}-{number}-{count}"
        sent = time.monotonic()
        verdict = write(instance, name)
        self.writes.append((sent, name, verdict))
        if verdict != "accepted":
            time.sleep(RETRY_PAUSE_S)

    def _count(self, instance, _, count):
        with Session(instance.address, PRIMARY, timeout=3.0) as session:
            session.ask(f"WRITE shared-{self._label} {count}")
        self.acknowledged.append((time.monotonic(), count))

    def _read(self, instance, _, __):
        sent = time.monotonic()
        with Session(instance.address, PRIMARY, timeout=3.0) as session:
            sent = time.monotonic()
            value = session.read(f"shared-{self._label}")
        self.reads.append((sent, int(value or 0)))


def unreached_instance(cluster):
    """One that nobody reaches serves nothing of a replaced primary."""
    for number in range(ROUNDS):
        run_round(cluster, number)


def planned_change(cluster):
    """One that nobody reaches serves nothing of a primary that was released."""
    for number in range(ROUNDS):
        run_round(cluster, number, planned=True)


def run_round(cluster, number, planned=False):
    holder = cluster.holder()
    isolated = (holder + 1) % 3
    other = (holder + 2) % 3
    old = cluster.platform.primary()
    traffic = Traffic(cluster.instances[isolated], cluster.instances[other],
                      f"round{number}")
    try:
        time.sleep(0.5)
        cluster.isolate(isolated, True)
        time.sleep(0.3)
        if planned:
            cluster.platform.order(database=old["id"], order="drain")
        else:
            for each in (holder, other):
                cluster.proxies[each].cut_database(old["addr"], True)
        wait_until("the primary is replaced",
                   lambda: replaced(cluster, old), 20, 0.005)
        effect_seen = time.monotonic()
        time.sleep(AFTER_S)
    finally:
        traffic.stop()
    cluster.isolate(isolated, False)
    cluster.platform.order(database=old["id"], order="start")
    for each in (holder, other):
        cluster.proxies[each].cut_database(old["addr"], False)
    for each in cluster.instances:
        wait_until(f"{each.name} serves again", each.serves)
    judge_writes(cluster.instances[other], traffic, effect_seen)
    judge_reads(traffic)


def judge_writes(instance, traffic, effect_seen):
    late = [name for sent, name, verdict in traffic.writes
            if verdict == "accepted" and sent >= effect_seen]
    before = sum(verdict == "accepted" for _, _, verdict in traffic.writes)
    with Session(instance.address, PRIMARY) as session:
        lost = [name for name in late
                if session.read(f"item-{name}") != f"value-{name}"]
    print(f"    {before} writes were accepted, {len(late)} of them sent after "
          f"the promotion, {len(lost)} of these are lost")
    expect(before > 0, "no write was accepted")
    expect(not lost, f"{len(lost)} writes acknowledged at the old primary "
                     f"after the promotion, such as {lost[:1]}")


def judge_reads(traffic):
    stale = 0
    for sent, value in traffic.reads:
        newest = max((count for at, count in traffic.acknowledged if at < sent),
                     default=0)
        stale += value < newest
    print(f"    {len(traffic.reads)} reads, {stale} of them stale")
    expect(stale == 0, f"{stale} reads lack an acknowledged write")


SCENARIOS = [unreached_instance, planned_change]


def run(scenario, build):
    return run_scenario(scenario, ProxiedCluster(build))


if __name__ == "__main__":
    sys.exit(run_chosen(__doc__, SCENARIOS, run))
