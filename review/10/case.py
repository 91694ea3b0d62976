"""A configuration that is written after a drill gets a revision that the
instances have seen before it."""

import signal
import sys
import time

sys.dont_write_bytecode = True
from cluster import (CONFIG_APPLY_S, SKEW_MAX_S, STABLE_S, TROUBLE,  # noqa: E402
                     Refused, Session, main)

SETTLE_S = 12
AGE_S, AWAY_S = 2.0, 0.5
# Past all that the rule may add to its bound, and later still.
ASKED_S = (CONFIG_APPLY_S + STABLE_S + SKEW_MAX_S + 1, 30, 40)


def scenario(world):
    time.sleep(SETTLE_S)
    leaving = next(i for i in reversed(world.instances)
                   if i is not world.duty_holder())
    world.note("plan", f"SIGTERM to {leaving.name}, which leaves for good")
    leaving.process.send_signal(signal.SIGTERM)
    world.wait("its entry is gone", lambda: not world.store.find(
        "/" + leaving.name), 15)
    world.note("seen", f"{leaving.name} is off the list, revision "
               f"{world.store.revision}")
    time.sleep(0.5)
    if TROUBLE:
        world.drill(AGE_S, AWAY_S)
    time.sleep(0.3)
    world.configure(7, [("late", world.services[0].name)])
    acknowledged = time.monotonic()
    found = []
    for wait in ASKED_S:
        time.sleep(max(0, acknowledged + wait - time.monotonic()))
        for instance in world.instances:
            if instance is leaving:
                continue
            text = ask(instance)
            world.note("request", f"late by {instance.name}, {wait} s after "
                       f"the acknowledgement of version 7: {text}")
            if text.startswith("NODB"):
                found.append(f"{instance.name} refuses the route of version 7 "
                             f"{wait} s after its acknowledgement: {text}")
    return found


def ask(instance):
    """What a client of the new route is told."""
    try:
        session = Session(instance.address, "late")
        try:
            session.ask("READ probe")
            return "served"
        finally:
            session.close()
    except (Refused, OSError) as error:
        return str(error)


main(scenario, instances=5, services=3)
