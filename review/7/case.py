"""A drill that loses a claim of the duty and keeps the claimant's lease."""

import signal
import sys
import threading
import time

sys.dont_write_bytecode = True
from cluster import TROUBLE, main  # noqa: E402

SETTLE_S = 12     # instances are no newcomers any more
AGE_S, AWAY_S = 2.0, 0.5


def replace_primary(world, service):
    """The primary is to be replaced: it reports that it drains."""
    with service.lock:
        service.advance()
        old = service.leader()
        old.draining = True
    world.note("plan", f"{old.id} is to be replaced")
    time.sleep(7)
    with service.lock:
        service.advance()
        now = service.leader()
        old.draining = False
    world.note("plan", f"{service.name} is led by {now.id}, term {now.term}")


def scenario(world):
    time.sleep(SETTLE_S)
    holder = world.duty_holder()
    world.note("plan", f"SIGTERM to {holder.name}, the holder of the duty")
    holder.process.send_signal(signal.SIGTERM)

    def restart():
        holder.process.wait()
        time.sleep(0.5)
        holder.start()
        world.note("plan", f"{holder.name} starts again")
    threading.Thread(target=restart, daemon=True).start()
    world.wait("another holder", lambda: world.duty_holder() not in
               (None, holder), 15)
    world.note("seen", f"{world.duty_holder().name} holds the duty now")
    time.sleep(1.0)
    if TROUBLE:
        world.drill(AGE_S, AWAY_S)
    time.sleep(10)
    world.await_service(20)
    for service in world.services:
        replace_primary(world, service)
    for service in world.services:
        replace_primary(world, service)
    return breaks(world)


def breaks(world):
    """Rule ONE: a fence lower than one that the platform has seen, or two
    holders with the same one."""
    found, newest, owner = [], 0, {}
    for at, holder, fence, service, identity, _ in world.promotions:
        if fence < newest:
            found.append(f"{at:.3f} s: {holder} promotes {identity} with fence "
                         f"{fence}; the platform has seen {newest}")
        if owner.setdefault(fence, holder) != holder:
            found.append(f"{at:.3f} s: {holder} and {owner[fence]} promote "
                         f"with fence {fence}")
        newest = max(newest, fence)
    return found


main(scenario, instances=5, services=3)
