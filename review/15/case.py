"""A new configuration no longer lets a route's streams be resumed: they may run once at most."""

import asyncio
import collections
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "stand-3"))

import platform_stand as stand  # noqa: E402

MODELS = [("small-7b", 0.018), ("middle-30b", 0.13), ("large-120b", 0.27)]
SERVICE = "assistant"


# Share of requests that are hard for the small model, whose opinion of its answers to them is low.
HARD_SHARE = 0.5
CONFIG_APPLY_S = stand.BOUNDS["configApplyMs"] / 1000


def configuration(version, is_resumable):
    return stand.config(version, [{
        "name": "r-plan", "host": "shop.example", "pathPrefix": "/plan/", "routeType": "stream",
        "timeoutMs": 20000, "targetLatencyMs": 2000, "targetGapMs": 1500, "priority": 0,
        "sizes": [name for name, _ in MODELS], "service": SERVICE, "maxAttempts": 3,
        "authExempt": True, "sticky": True, "resumable": is_resumable}], [{
            "name": SERVICE, "healthPath": "/health", "maxConns": 360, "protocol": "h1",
            "tls": False, "coldStartS": 0.0, "coldPerS": 0.0, "engine": {
                "slots": 64, "kvCapacityTokens": 469210, "kvTokenBytes": 18432, "linkMbps": 130000.0,
                "moves": True, "backups": True, "stride": 7, "most": 12, "pinMs": 4000.0,
                "holdMs": 2000.0, "handleTtlS": 5.0,
                "models": [{"name": name, "cost": cost} for name, cost in MODELS]}}])


def confidence(model):
    is_low = model == MODELS[0][0] and random.random() < HARD_SHARE
    return 20 if is_low else 95


def headers():
    own = f"{random.getrandbits(32):08x}"
    return {"X-Model": "*", "X-Token-Usage": "700,290",
            "X-Prompt-Prefix": f"5c1e07a2:119,91bd3f06:79,{own}:502"}


async def case(record, has_trouble):
    system = stand.System(record, keepers=3, entries=2, tolerated=1)
    workers = []
    zones = list(stand.ZONES)
    try:
        system.start()
        operator = stand.Operator(system)
        await operator.order("/v1/config/put", configuration(1, True))
        for number in range(1, 5):
            plan = stand.StreamPlan(0.1, 0.05, 10, confidence)
            worker = stand.Worker(system, number, SERVICE, zones[number % 3], stream=plan,
                                  models=[name for name, _ in MODELS])
            workers.append(worker)
            await worker.start()
        await system.wait_ready()
        await asyncio.sleep(1.5)
        clients = stand.Clients(system, "shop.example", "/plan/1", 10.0, deadline_ms=20000,
                                method="POST", headers=headers)
        clients.start()
        await asyncio.sleep(5.0)
        acknowledged_at = await operator.order("/v1/config/put", configuration(2, not has_trouble))
        await asyncio.sleep(CONFIG_APPLY_S + 8.0)
        await clients.stop()
        return judge(record, clients, workers, acknowledged_at, has_trouble)
    finally:
        for worker in workers:
            worker.crash("ends")
        system.end()


def judge(record, clients, workers, acknowledged_at, has_trouble):
    in_force_at = acknowledged_at + CONFIG_APPLY_S
    runs = collections.Counter(request_id for worker in workers
                               for _, request_id, status in worker.arrivals if status == 200)
    record.say(f"answers (0: none): {dict(clients.answers)}")
    for name, is_late in (("before the change", False), ("since it is in force", True)):
        sent = [request_id for request_id, at in clients.sent.items()
                if (at > in_force_at if is_late else at < acknowledged_at)]
        twice = [request_id for request_id in sent if runs[request_id] > 1]
        record.say(f"{name}: {len(sent)} requests were sent, {len(twice)} of them ran more than once,"
                   f" for example {twice[:3]}")
    if not has_trouble:
        record.say("the streams may be resumed, so that the rule allows it")
        return True
    record.say("the streams may not be resumed any more; the rule allows none")
    return not twice


stand.main(FOLDER, case)
