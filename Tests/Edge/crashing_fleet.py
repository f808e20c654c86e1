"""A fleet whose backend servers crash under certain requests and come back, for tests."""

import asyncio
import time

from fleet import Fleet
from standin import call, shared_parts

POISON = b"crashes the server"
# Bounds of the platform's rules: retries sent later than this after the third crash count, and at
# most three of them are allowed.
CONTACT_S = 3.0
MOST_LATE_RETRIES = 3
# The same for a part of a prompt, counted from this crash.
CRASHES_OF_PART = 5
MOST_LATE_RUNS = 3
# A crashed server is back after this time; its entry in the store expires after three heartbeats.
DOWN_S = 2.0
EXPIRY_S = 3.6


class CrashingFleet(Fleet):
    """A fleet whose servers crash under requests with the body POISON, or with a prompt part of
    crash_parts, and come back.
    """

    def __init__(self, keeps_id=False, **more):
        super().__init__(**more)
        self.keeps_id = keeps_id
        self.crash_parts = frozenset()
        self.returns = []

    async def __aexit__(self, *arguments):
        for task in self.returns:
            task.cancel()
        await super().__aexit__(*arguments)
        for outcome in await asyncio.gather(*self.returns, return_exceptions=True):
            if isinstance(outcome, Exception):
                raise outcome

    async def add_replica(self, name, service, **more):
        replica = await super().add_replica(name, service, **more)
        replica.crash_bodies = frozenset([POISON])
        replica.crash_parts = self.crash_parts
        replica.on_crash = self.on_crash
        return replica

    def on_crash(self, replica):
        self.returns.append(asyncio.create_task(self.bring_back(replica)))

    async def bring_back(self, replica):
        await asyncio.sleep(DOWN_S)
        if self.keeps_id:
            await replica.start()
            replica.born = int(time.time() * 1000)
            replica.register()
            return
        await self.add_replica(f"{replica.name}+", replica.service, work_s=replica.work_s,
                               events=replica.events,
                               crash_after_head_s=replica.crash_after_head_s)
        await asyncio.sleep(EXPIRY_S - DOWN_S)
        self.store.delete(f"servers/{replica.name}")

    def crashes(self):
        return sorted(at for replica in self.replicas for at in replica.crash_times)

    def crash_under(self, *parts):
        """From now on, servers crash under requests with one of these parts in their prompts."""
        self.crash_parts = frozenset(parts)
        for replica in self.replicas:
            replica.crash_parts = self.crash_parts

    def late_runs_with(self, part):
        """Runs with this part that began later than the contact time after the fifth crash."""
        crashes = self.crashes()
        if len(crashes) < CRASHES_OF_PART:
            return []
        return [run for replica in self.replicas for run in replica.runs
                if part in shared_parts(run["headers"])
                and run["at"] > crashes[CRASHES_OF_PART - 1] + CONTACT_S]

    def late_retries(self):
        """Runs of POISON that began later than the contact time after the third crash."""
        crashes = self.crashes()
        if len(crashes) < 3:
            return []
        return [run for replica in self.replicas for run in replica.runs
                if run["body"] == POISON and run["at"] > crashes[2] + CONTACT_S]


async def send_in_turn(fleet, path, body, count, interval_s, prefix, **more):
    """Sends requests with this body to the entries in turn; returns their answers in order."""
    calls = []
    for number in range(count):
        entry = fleet.entries[number % len(fleet.entries)]
        calls.append(asyncio.create_task(call(entry.address("front"), path, f"{prefix}-{number}",
                                              body=body, **more)))
        await asyncio.sleep(interval_s)
    return await asyncio.gather(*calls)


def is_served(answer):
    return answer.status == 200 and answer.whole
