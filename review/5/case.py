"""After all machines were killed at once, a request that crashes its runners is let through to them again."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import stand  # noqa: E402

HOSTS, RUNNERS = 6, 12
STABLE_S = 3.0  # bound stable_window_ms
RETRIES = 3  # that the rule allows
DOWN_S = 4.0  # a runner that crashed is back after some seconds
KILL_AT_S = 12.0
LENGTH_S = 32.0
WORK_S = 0.06  # work of a request to the order service on the sheet
POISON = b"prompt that crashes its runner"


async def case(world):
    for _ in range(HOSTS):
        await world.add_host("zone-a")
    crashes = []  # times
    reached = []  # (time, host)
    lost = []  # times at which sound requests were lost with their runner
    up_since = {}

    async def back(runner, number):
        await asyncio.sleep(3 * 1.2)
        world.store.put("keyed.servers", runner.id)
        await asyncio.sleep(DOWN_S - 3 * 1.2)
        await runner.restart(f"{runner.id.split('-n')[0]}-n{number}")
        world.record("runner_back", runner=runner.id)

    async def work(runner, fields, body, writer):
        if body == POISON:
            host = fields["x-review-host"]
            reached.append((world.record.now(), host))
            world.record("poison_reaches", runner=runner.id, host=host, request=fields["x-endivespan-request-id"])
            await asyncio.sleep(0.01)
            crashes.append(world.record.now())
            world.record("crash", runner=runner.id, number=len(crashes))
            world.tasks.append(asyncio.create_task(back(runner, len(crashes))))
            await runner.crash()
            return
        life = runner.born
        await asyncio.sleep(WORK_S)
        if runner.up and runner.born == life:
            await runner.answer(writer, 200, runner.common(fields) | runner.seal(), b"done")
        else:
            lost.append(world.record.now())
            world.record("sound_request_lost", request=fields["x-endivespan-request-id"], runner=runner.id)

    for _ in range(RUNNERS):
        runner = await world.add_runner("orders", "zone-a", slots=6)
        runner.work = work
    world.config["services"] = [{"name": "orders", "health_path": "/health", "max_conns": 192, "cold_s": 0.0,
                                 "cold_per_s": 0.0}]
    world.config["routes"] = [{"name": "r-orders", "host": "shop.example", "path_prefix": "/orders/",
                               "type": "non_idempotent", "timeout_ms": 1500, "aim_ms": 300, "priority": 1,
                               "service": "orders", "max_attempts": 1, "public": True}]
    world.configure()
    if not await world.begin():
        return stand.CANNOT_RUN
    began = world.record.now()
    for host in world.hosts:
        up_since[host.ip] = began
    served = {"before": 0, "after": 0}

    async def send(host, body):
        request = world.request_id()
        status, _, _, _ = await stand.call(
            host.front, "POST", "/orders/new", {"Host": "shop.example", "X-Endivespan-Request-Id": request,
                                                "X-Review-Host": host.ip, "X-Endivespan-Deadline-Ms": "1500"},
            body, timeout=1.5)
        if body == POISON:
            world.record("poison_answered", request=request, host=host.name, status=status)
        elif status == 200:
            served["before" if world.record.now() < began + KILL_AT_S else "after"] += 1

    async def callers():
        """Sound requests, no two alike, all the time."""
        number = 0
        while True:
            number += 1
            world.tasks.append(asyncio.create_task(send(world.hosts[number % HOSTS], b"order %d" % number)))
            await asyncio.sleep(0.01)

    async def bad_caller():
        """The same bad request comes again at any machine, six times a second."""
        number = 0
        while True:
            number += 1
            host = world.hosts[number % HOSTS]
            since = up_since.get(host.ip)
            if since is not None and world.record.now() > since + STABLE_S + 0.2:
                world.tasks.append(asyncio.create_task(send(host, POISON)))
            await asyncio.sleep(0.15)

    world.tasks.append(asyncio.create_task(bad_caller()))
    world.tasks.append(asyncio.create_task(callers()))
    await asyncio.sleep(KILL_AT_S)
    if stand.TROUBLE:
        up_since.clear()
        for host in world.hosts:
            host.signal(signal.SIGKILL)
        for host in world.hosts:
            await host.process.wait()
        await asyncio.sleep(1)
        for host in world.hosts:
            await host.start()
        for host in world.hosts:
            while not await host.is_ready():
                await asyncio.sleep(0.15)
            world.record("ready_again", host=host.name)
        for host in world.hosts:
            up_since[host.ip] = world.record.now()
    await asyncio.sleep(began + LENGTH_S - world.record.now())
    if len(crashes) < 3 or not served["before"] or not served["after"]:
        world.record("too_few", crashes=len(crashes), **served)
        return stand.CANNOT_RUN
    late = [at for at, _ in reached if at > crashes[2] + STABLE_S]
    world.record("checked", crashes=len(crashes), third_at=round(crashes[2], 3), retries_later=len(late),
                 sound_requests_lost_later=sum(at > crashes[2] + STABLE_S for at in lost), **served)
    return stand.BROKEN if len(late) > RETRIES else stand.HELD


stand.main(os.path.dirname(os.path.abspath(__file__)), case)
