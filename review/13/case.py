"""A job with very many small tasks, and a job of one task after it."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin-3"))
import standin  # noqa: E402

# Tasks of the first job with and without the disruption.
MANY, FEW = 50_000, 5_000
WORK_S = 1.0
BEFORE_S = 15.0
# From RULES.md, LOST, and the settings in DEPLOY.md.
FINISH_S = 14
NOTHING_RUNS_S = 3


async def main(site, trouble):
    await site.start([f"r{index}" for index in range(8)])
    count = MANY if trouble else FEW
    large = await site.submit(1, f"work={WORK_S}", [
        {"count": count, "cpu": 1, "memMb": 1, "estimateMs": 1000 * WORK_S}])
    begun = site.record.now()
    while site.record.now() < begun + BEFORE_S:
        await asyncio.sleep(1)
        done = sum(row["how"] == "done" for row in site.runs)
        site.record.add(f"job {large}: {len(site.runs)} runs began, {done} are done; longest value "
                        f"written or refused {site.store.longest_value} bytes, "
                        f"{site.store.too_long} writes refused")
        if not trouble and await site.state(large) == "completed":
            break
    small = await site.submit(2, "work=1", [{"count": 1, "cpu": 100, "memMb": 1, "estimateMs": 1000}])
    accepted = site.record.now()
    state = None
    while site.record.now() < accepted + FINISH_S + 2 * NOTHING_RUNS_S and state != "completed":
        await asyncio.sleep(0.5)
        state = await site.state(small)
    began = [row for row in site.runs if row["task"].startswith(small)]
    site.record.add(f"job {large} is {await site.state(large)}, job {small} is {state}, "
                    f"{len(began)} runs of it; {site.store.too_long} writes refused")
    if began:
        return []
    used = sum(minion.used for minion in site.minions.values())
    return [f"LOST: job {small}, accepted at {accepted:.1f} s, has had nothing running until "
            f"{site.record.now():.1f} s; {used} of {8 * site.cpu} millicores are in use"]


standin.play(FOLDER, main)
