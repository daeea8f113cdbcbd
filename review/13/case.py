"""A fleet grows, so that it is divided; jobs of a service with a single rack follow."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin-3"))
import standin  # noqa: E402

# A rack has four minions. The fleet grows by a quarter.
RACKS, NEW_RACKS = 16, 4
# `gap_s` of `scale_out` in the site file is 2.0.
GROWTH_S = 2.5
# Time for the entries to follow the growth.
DIVISION_S = 25.0
JOBS = 12
# From RULES.md, LOST, and the settings in DEPLOY.md.
FINISH_S = 14
NOTHING_RUNS_S = 3


async def grow(site):
    site.record.add(f"DISRUPTION: {4 * NEW_RACKS} empty minions are added")
    for index in range(4 * NEW_RACKS):
        await asyncio.sleep(GROWTH_S / (4 * NEW_RACKS))
        await site.add_minion(f"n-{index}", f"n{index // 4}", f"i-{0x51d0e644 + index:08x}")


async def main(site, trouble):
    # As in the small days of a grown deployment: `cpuShare` 0.12, `linkMbps` 2, `memoryMb` 160.
    site.cores, site.link_mbps, site.memory_mb = 0.12, 2.0, 160
    await site.start([f"r{index // 4}" for index in range(4 * RACKS)], entries=3,
                     more=["e0"] * 4)
    await asyncio.sleep(3)
    if trouble:
        await grow(site)
    await asyncio.sleep(DIVISION_S)
    jobs = []
    for number in range(JOBS):
        jobs.append(await site.submit(0x40 + number, "work=0.5", [
            {"count": 2, "cpu": 500, "memMb": 100, "estimateMs": 500}], prefix="/plans/"))
    end = site.record.now() + FINISH_S + 2 * NOTHING_RUNS_S
    states = {}
    while site.record.now() < end:
        await asyncio.sleep(0.5)
        states = {job: await site.state(job) for job in jobs}
        if set(states.values()) == {"completed"}:
            break
    site.record.add(f"states: {states}")
    idle = [job for job in jobs if not any(row["task"].startswith(job) for row in site.runs)]
    used = sum(it.used for it in site.minions.values() if it.service == "engineering")
    if used >= 4 * site.cpu / 2:
        return []
    return [f"LOST: job {job} has had nothing running for {FINISH_S + 2 * NOTHING_RUNS_S} s; {used} of "
            f"{4 * site.cpu} millicores of its service are in use" for job in idle]


standin.play(FOLDER, main)
