"""A chunk of an answer whose size line never ends fills the memory of the machine that waits for its end."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import stand  # noqa: E402

MEMORY_MB = 182  # of a machine
LINK_MB_PER_S = 700 / 8  # of a machine's link
SENT_MB_PER_S = 70  # to one machine, by all runners together
SPOILED_SHARE = 0.05  # of the answers of a faulty runner: largest x of `garble` in the site file
FAULTY_SHARE = 0.5  # of the runners; the largest share of `garble` in the site file is 0.6
PATIENCE_S = 3.2  # after which callers abandon a stream: eight pauses of 400 ms
ENDS, MACHINES = 3, 2  # of the rule
SPAN_S = 75


async def case(world):
    zone = "zone-a"
    for _ in range(3):
        await world.add_host(zone)
    chunk = b"x" * 65536
    answered = {}  # id of a faulty runner -> its answers
    busy = {}  # address of a machine -> bytes that it was sent in the current tenth of a second

    async def spoil(runner, identity, address, writer):
        world.record("spoils_answer", request=identity, runner=runner.id)
        writer.write(b"1;")
        loop = asyncio.get_running_loop()
        sent = 0
        while True:
            now = int(loop.time() * 10)
            at, used = busy.get(address, (now, 0))
            used = used if at == now else 0
            if used >= SENT_MB_PER_S * 1e5:
                await asyncio.sleep(0.01)
                continue
            busy[address] = (now, used + len(chunk))
            writer.write(chunk)
            sent += len(chunk)
            await writer.drain()

    async def work(runner, fields, body, writer):
        faulty = runner.id in answered
        if faulty:
            answered[runner.id] += 1
        identity = fields["x-endivespan-request-id"]
        writer.write(stand.message("HTTP/1.1 200 X", runner.common(fields) | runner.seal() | {
            "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}))
        for number in range(1, 4):
            event = f"id: {number}\ndata: token\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            if stand.TROUBLE and number == 1 and faulty and answered[runner.id] % round(1 / SPOILED_SHARE) == 0:
                await spoil(runner, identity, fields["x-review-host"], writer)
            await asyncio.sleep(0.02)
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    for number in range(6):
        runner = await world.add_runner("llm", zone, models=[{"name": "m", "version": 1, "adapters": []}], slots=64)
        runner.work = work
        if number < 6 * FAULTY_SHARE:
            answered[runner.id] = 0
    world.store.put("keyed.op", "version/m", {"model": "m", "version": 1})
    world.config["services"] = [{"name": "llm", "health_path": "/health", "max_conns": 720, "cold_s": 0.0,
                                 "cold_per_s": 0.0, "engine": {"slots": 64, "kv_capacity_tokens": 131597,
                                                               "models": [{"name": "m"}]}}]
    world.config["routes"] = [{"name": "r-chat", "host": "shop.example", "path_prefix": "/chat/",
                               "type": "streaming", "timeout_ms": 10000, "aim_ms": 800, "priority": 1,
                               "service": "llm", "max_attempts": 1, "public": True, "sticky": True,
                               "resumable": False, "target_gap_ms": 400}]
    world.configure()
    if not await world.begin():
        return stand.CANNOT_RUN
    good = 0

    async def prompt(host):
        nonlocal good
        request = world.request_id()
        status, _, body, whole = await stand.call(
            host.front, "POST", "/chat/1",
            {"Host": "shop.example", "X-Endivespan-Request-Id": request, "X-Endivespan-Deadline-Ms": "10000",
             "X-Endivespan-Model": "m", "X-Endivespan-Token-Count": "300,3", "X-Review-Host": host.ip,
             "X-Endivespan-Prompt-Prefix": f"5c1e07a2:200,{request}:100"}, b"prompt", timeout=PATIENCE_S)
        good += whole and status == 200
        world.record("answered", request=request, host=host.name, status=status, whole=whole)

    async def callers(host):
        tasks = set()
        while True:
            task = asyncio.create_task(prompt(host))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(0.1)

    ends = {host.name: 0 for host in world.hosts}
    most = dict(ends)

    async def platform(host):
        """Kills a process that exceeds the memory of its machine, and starts it again after a short delay."""
        while True:
            used = host.memory_mb()
            most[host.name] = max(most[host.name], used)
            over = used > MEMORY_MB
            if over or host.process.returncode is not None:
                world.record("ends", host=host.name, memory_mb=round(used), by="memory" if over else "itself")
                host.signal(signal.SIGKILL)
                await host.process.wait()
                ends[host.name] += 1
                await asyncio.sleep(0.5)
                await host.start()
            await asyncio.sleep(0.02)

    for host in world.hosts:
        world.tasks.append(asyncio.create_task(platform(host)))
        world.tasks.append(asyncio.create_task(callers(host)))
    for _ in range(SPAN_S * 2):
        await asyncio.sleep(0.5)
        if sum(count >= ENDS for count in ends.values()) >= MACHINES:
            break
    world.record("checked", good=good, **{f"ends_{name}": count for name, count in ends.items()},
                 **{f"most_mb_{name}": round(used) for name, used in most.items()})
    if not good:
        return stand.CANNOT_RUN
    return stand.BROKEN if sum(count >= ENDS for count in ends.values()) >= MACHINES else stand.HELD


stand.main(os.path.dirname(os.path.abspath(__file__)), case)
