"""Three machines of the core are replaced as planned: the successors first, then SIGTERM to the old ones."""

import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "stand-2"))
import harness as h  # noqa: E402

CATCH_UP_S = h.Platform.bounds["catchUpS"]
RECOVERY_S = h.Platform.bounds["recoveryS"]
CONTACT_S = h.Platform.bounds["contactMs"] / 1000
GRACE_S = h.Platform.bounds["graceS"]
KEY = "key-of-riders-1"


def main():
    record = h.Record(HERE)
    platform = h.Platform(record)
    trouble = h.has_trouble()
    workers, traffic = [], None
    try:
        places = [(0, 1), (0, 2), (1, 1), (1, 2), (2, 1)]
        platform.seeds = [f"{platform.net}.{z + 1}.{n}:{platform.control_port}" for z, n in (places[0], places[2], places[4])]
        cores = [platform.add("keeper", f"core-{z}-{n}", z, n, founding=True) for z, n in places]
        fronts = [platform.add("entry", f"front-{z}", z, 11) for z in range(2)]
        operator = h.Operator(platform, record)
        tenants = [{"name": "riders", "apiKeys": [KEY], "priority": 1}]
        make = lambda version: h.config(
            version, [h.route_rule("status", "/status/", "order-svc")], [h.service_rule("order-svc")], tenants, idle=version)
        if not operator.put(make(1)):
            return 2
        # The settings of later starts: the system has started.
        for machine in platform.machines:
            machine.founding = False
            machine.write_settings()
        workers = [h.Worker(platform, record, "order-svc", f"{platform.net}.{z + 1}.15", platform.zones[z]) for z in range(3)]
        time.sleep(max(0.0, 10 - h.now()))
        traffic = h.Traffic(platform, record, fronts, "shop.example", "/status/1", key=KEY)
        time.sleep(3)
        # Planned replacement: the successors first, one after the other, with empty disks and new addresses. Each has had
        # its time to catch up before the next one starts, and the last one before the first old machine goes.
        for number in range(3):
            if trouble:
                successor = platform.add("keeper", f"core-successor-{number}", number, 3)
                record.say(f"platform: {successor.name} starts with an empty disk")
            time.sleep(CATCH_UP_S + 0.5)
        if not operator.put(make(2)):
            return 2
        fault_at = h.now()
        stopping = []
        for old in cores[:3]:
            if trouble:
                record.say(f"platform: SIGTERM to {old.name}, which is removed for good")
                thread = threading.Thread(target=old.terminate, args=(GRACE_S,))
                thread.start()
                stopping.append(thread)
            time.sleep(1.0)
        for thread in stopping:
            thread.join()
        # The settings name machines that are there, as the operator's list has them now.
        platform.seeds = platform.control_addresses()[:3]
        for machine in platform.machines:
            machine.write_settings()
        back_at = h.now()
        before, share_before = traffic.share_served(fault_at - 10, fault_at)
        # The time to recover, and 10 s of requests after it.
        time.sleep(RECOVERY_S + 10)
        after, share_after = traffic.share_served(back_at + RECOVERY_S, back_at + RECOVERY_S + 9)
        # The operator reads the configuration back for contactMs at least; here for twice that.
        read = None
        until = time.monotonic() + 2 * CONTACT_S
        while time.monotonic() < until:
            read = operator.read() or read
            time.sleep(0.25)
        version = read and read["version"]
        record.say(f"before the replacement {share_before:.2f} of {before} requests were served; from {RECOVERY_S} s after "
                   f"it {share_after:.2f} of {after}")
        record.say(f"read back at the end: version {version}; acknowledged: version 2")
        is_alive = all(m.process.poll() is None for m in platform.machines if m.is_on)
        record.say(f"all processes run: {is_alive}")
        if share_before < 0.9:
            return 2
        broken = version != 2
        record.say("CONFIG is broken" if broken else "the rule held")
        return 1 if broken else 0
    finally:
        if traffic:
            traffic.close()
        for worker in workers:
            worker.close()
        platform.close()


if __name__ == "__main__":
    try:
        code = main()
    except Exception as error:  # A fault of the case, not of the system.
        print(f"the case failed: {error!r}")
        code = 2
    sys.stdout.flush()
    os._exit(code)
