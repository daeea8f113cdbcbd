"""A gang ends while the store refuses its holder, and one of its minions crashes after that."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin-3"))
import standin  # noqa: E402

MEMBERS = 3
# One of eight is within the share of `srv_crash` (0.14).
MINIONS = 8
WORK_S = 3.0
REFUSED_S = 7.0
PLAY_S = 25.0


async def wait(site, what, condition, limit_s):
    end = site.record.now() + limit_s
    while not condition():
        if site.record.now() > end:
            raise RuntimeError(f"not within {limit_s} s: {what}")
        await asyncio.sleep(0.005)


async def disrupt(site):
    leader = site.store.last_writer
    site.store.refused.add(leader)
    site.record.add(f"DISRUPTION: the store refuses {leader} (503) for {REFUSED_S} s")
    await wait(site, "the gang ends", lambda: sum(row["how"] == "done" for row in site.runs) == MEMBERS,
               5)
    await asyncio.sleep(0.3)
    unseen = [row for row in site.runs if row["how"] == "done" and not row["observed"]]
    if unseen:
        name = unseen[0]["minion"]
        minion = next(it for it in site.minions.values() if it.name == name)
        minion.crash()
        site.record.add(f"DISRUPTION: minion {name} crashes")
    await asyncio.sleep(REFUSED_S - 0.6)
    site.store.refused.clear()
    site.record.add("the store serves all entries again")


async def main(site, trouble):
    await site.start([f"r{index}" for index in range(MINIONS)], entries=3)
    job = await site.submit(1, f"work={WORK_S}", [
        {"count": MEMBERS, "cpu": 1000, "memMb": 100, "estimateMs": 3000, "gang": True,
         "antiAffinity": 1}])
    began = site.record.now()
    await wait(site, "the gang begins", lambda: len(site.runs) == MEMBERS, 5)
    await asyncio.sleep(WORK_S - 0.3)
    if trouble:
        await disrupt(site)
    state = None
    while site.record.now() < began + PLAY_S and state != "completed":
        await asyncio.sleep(0.25)
        for entry in range(len(site.entries)):
            state = state or await site.state(job, entry)
        state = state if state == "completed" else None
    site.record.add(f"job {job} is {state or 'not completed'}")
    broken = []
    for row in site.runs:
        for earlier in site.runs:
            if (earlier["task"] == row["task"] and earlier["how"] == "done" and earlier["observed"]
                    and row["from"] > earlier["to"]):
                broken.append(
                    f"TWICE: {row['task']} run {row['run']} begins on {row['minion']} at "
                    f"{row['from']:.3f} s; run {earlier['run']} ended done on {earlier['minion']} at "
                    f"{earlier['to']:.3f} s, taken note of at {earlier['observed']:.3f} s")
    return broken


standin.play(FOLDER, main)
