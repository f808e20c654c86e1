"""A request that has another one smuggled inside it ends an entry's work for good."""

import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib-2"))
from bed import HOST_NAME, KEY, Replica, call, configuration, has_trouble, route, run, wait_until

CALLERS = 12
TIMEOUT_S = 4.0
WORK_S = 0.5
LATE_S = 0.5
LEAST_LATE = 8
READY_CHECKS = 5


def carrier():
    """A request in chunks, with a second one where its framing is ambiguous."""
    first = (f"POST /hold/a HTTP/1.1\r\nHost: {HOST_NAME}\r\nAuthorization: Bearer {KEY}\r\n"
             "Fennelline-Request-Id: outer\r\nTransfer-Encoding: chunked\r\n")
    if has_trouble():
        first += "Transfer-Encoding: chunked\r\n"
    inner = (f"POST /hold/b HTTP/1.1\r\nHost: {HOST_NAME}\r\nAuthorization: Bearer {KEY}\r\n"
             "Fennelline-Request-Id: inner\r\nContent-Length: 0\r\n\r\n")
    # Without the disruption, the client sends one proper request.
    return (first + "\r\n0\r\n\r\n" + (inner if has_trouble() else "")).encode()


def processor_s(pid):
    with open(f"/proc/{pid}/stat", encoding="utf-8") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def is_ready(entry):
    answer = await call(entry.address("ready"), "/fennelline/readyz", "check", method="GET", deadline_ms=1000,
                        body=b"")
    return answer.status == 200


async def case(bed):
    await bed.start(configuration(1, [route("hold", "non_idempotent", "counter-api", attempts=1,
                                            **{"timeout-ms": int(TIMEOUT_S * 1000)})]))
    entry = bed.entries[0]
    for number in range(3):
        replica = await bed.add_replica(Replica(bed.store, f"i-{number}", "counter-api", work_s=WORK_S))
        await bed.until_known(replica)
    front = entry.address("front")
    calls = [asyncio.create_task(call(front, "/hold/x", f"hold-{number}", deadline_ms=int(TIMEOUT_S * 1000)))
             for number in range(CALLERS)]
    await wait_until(lambda: sum(len(replica.runs) for replica in bed.replicas) == CALLERS, 3.0,
                     "the replicas run all requests")
    bed.note(f"sent: {CALLERS} proper requests, all of them run")
    before_s, before = processor_s(entry.process.pid), time.monotonic()
    reader, writer = await asyncio.open_connection(*front.split(":"))
    writer.write(carrier())
    bed.note(f"sent: {carrier()!r}")
    try:
        bed.note(f"answered: {await asyncio.wait_for(reader.read(4096), 2.0)!r}")
    except asyncio.TimeoutError:
        bed.note("answered: nothing within 2 s")
    writer.close()
    answers = await asyncio.gather(*calls)
    late = [number for number, answer in enumerate(answers) if answer.took_s > TIMEOUT_S + LATE_S or not answer.status]
    for number, answer in enumerate(answers):
        bed.note(f"hold-{number}: status {answer.status}, whole {answer.whole}, took {answer.took_s:.2f} s")
    ready = [await is_ready(entry) for _ in range(READY_CHECKS)]
    bed.note(f"readiness checks answered with 200: {sum(ready)} of {READY_CHECKS}")
    used = (processor_s(entry.process.pid) - before_s) / (time.monotonic() - before)
    bed.note(f"processor time used since then: {used:.0%} of a core")
    entry.signal(signal.SIGTERM)
    try:
        await asyncio.wait_for(entry.process.wait(), 8.0)
        bed.note(f"after SIGTERM: ended with {entry.process.returncode} within the grace time")
    except asyncio.TimeoutError:
        bed.note("after SIGTERM: still running at the end of the grace time")
    ran = [run["id"] for replica in bed.replicas for run in replica.runs]
    bed.note(f"run: {sorted(ran)}")
    bed.note(f"{len(late)} of {CALLERS} accepted requests had no final answer {LATE_S} s after their timeout")
    is_broken = len(late) >= LEAST_LATE and len(late) > CALLERS / 4 and not any(ready)
    return not is_broken


if __name__ == "__main__":
    run(case, HERE)
