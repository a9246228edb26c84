"""A withdrawn key keeps working at the last machine when the store turns that machine away."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import stand  # noqa: E402

REVOKE_S = 5.0  # bound revoke_ms
CUT_S = 7.0  # of platform_down with `nodes` and count = 1 in the site file
KEPT, WITHDRAWN = "keykeptkeykeptkeykept1", "keywithdrawnkeywithdr1"


async def case(world):
    for _ in range(3):
        await world.add_host("zone-a")
    await world.add_runner("orders", "zone-a")
    world.config["services"] = [{"name": "orders", "health_path": "/health", "max_conns": 192, "cold_s": 0.0,
                                 "cold_per_s": 0.0}]
    world.config["routes"] = [{"name": "r-orders", "host": "shop.example", "path_prefix": "/orders/",
                               "type": "non_idempotent", "timeout_ms": 1500, "aim_ms": 300, "priority": 1,
                               "service": "orders", "max_attempts": 1, "public": False}]
    world.config["tenants"] = [{"name": "tenant-1", "api_keys": [KEPT, WITHDRAWN], "priority": 1}]
    world.configure()
    if not await world.begin():
        return stand.CANNOT_RUN
    last, others = world.hosts[0], world.hosts[1:]

    async def order(key):
        request = world.request_id()
        sent = world.record.now()
        world.record("sent", request=request, host=last.name, key=key)
        status, _, _, _ = await stand.call(last.front, "POST", "/orders/new",
                                           {"Host": "shop.example", "X-Endivespan-Request-Id": request,
                                            "X-Endivespan-Deadline-Ms": "1500", "Api-Key": key}, b"order")
        world.record("answered", request=request, status=status)
        return sent, request, status

    for key in (KEPT, WITHDRAWN):
        if (await order(key))[2] != 200:
            return stand.CANNOT_RUN

    # Planned work, long before the disruption: two of the three machines are taken away with SIGTERM.
    for host in others:
        host.signal(signal.SIGTERM)
    for host in others:
        if not await host.ended(9):
            return stand.CANNOT_RUN
        world.record("ended", host=host.name, code=host.process.returncode)
    await asyncio.sleep(25)

    # The store turns the machine away, and the operator withdraws a key.
    if stand.TROUBLE:
        world.store.refused[last.name] = "busy"
        world.record("store_refuses", host=last.name)
    await asyncio.sleep(0.05)
    cut = world.record.now()
    world.config["tenants"][0]["api_keys"] = [KEPT]
    world.configure()
    acknowledged = world.record.now()
    late = []
    while world.record.now() < cut + CUT_S - 0.3:
        answer = await order(WITHDRAWN)
        if answer[0] > acknowledged + REVOKE_S:
            late.append(answer)
        await asyncio.sleep(0.25)
    world.store.refused.clear()
    ran = {request for _, request, _, _ in world.runs}
    broken = [request for _, request, _ in late if request in ran]
    world.record("checked", sent_after_bound=len(late), of_these_run=len(broken))
    return stand.BROKEN if broken else stand.HELD


stand.main(os.path.dirname(os.path.abspath(__file__)), case)
