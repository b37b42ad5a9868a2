"""Kills one entry at a time while jobs of two steps run, and looks for tasks that then run twice at the same time."""

import sys
import threading
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

from checks import overlapping_runs  # noqa: E402
from rig import NotRun, Rig, run_case, step, trouble  # noqa: E402

WORKERS = 6
# "One way, 1.4 ms between zones" of the page on hsv-kiosk.
ZONE_DELAY_S = 0.0014
JOBS = 240
# The load stays below half of the workers' room.
PAUSE_BETWEEN_JOBS_S = 0.05
# One entry at a time, which is back long before the next one is killed.
KILL_AFTER_JOBS = (80, 200)
RESTART_AFTER_S = 1.0
TASK_CPU = 300
FIRST_STEP_MS, SECOND_STEP_MS = 60, 900


def work_ms(task, _run):
    return FIRST_STEP_MS if task.split(".")[2] == "0" else SECOND_STEP_MS


def submit_jobs(rig):
    steps = [step(1, FIRST_STEP_MS, TASK_CPU), step(8, SECOND_STEP_MS, TASK_CPU, after=[0])]
    names = list(rig.fronts)
    accepted, threads = [], []

    def submit(job, entry):
        # As the pages tell clients: without an answer the job is sent again, to any entry.
        for attempt in range(4):
            status, _ = rig.submit(job, steps, entry=names[(entry + attempt) % len(names)])
            if status == 200:
                accepted.append(job)
            if status not in (0, 502, 504):
                return
            time.sleep(1.3)

    for number in range(JOBS):
        thread = threading.Thread(target=submit, args=(f"{number + 1:016x}", number % len(names)))
        thread.start()
        threads.append(thread)
        time.sleep(PAUSE_BETWEEN_JOBS_S)
        if number + 1 in KILL_AFTER_JOBS and trouble():
            kill_an_owner(rig)
    for thread in threads:
        thread.join()
    return accepted


def kill_an_owner(rig):
    victim = max(rig.entries, key=lambda entry: len(entry.owned()))
    victim.kill()

    def restart():
        time.sleep(RESTART_AFTER_S)
        victim.start()

    threading.Thread(target=restart, daemon=True).start()


def body(rig):
    accepted = submit_jobs(rig)
    if len(accepted) < JOBS / 2:
        raise NotRun(f"only {len(accepted)} of {JOBS} jobs were accepted")
    waiting, end = set(accepted), time.monotonic() + 15
    while waiting and time.monotonic() < end:
        waiting = {job for job in waiting if rig.state(job, "edge-0")[1].get("state") not in ("completed", "failed")}
        time.sleep(0.2)
    pairs = overlapping_runs(rig.record.rows)
    print(f"{len(accepted)} jobs accepted, {len(waiting)} not ended, {len(pairs)} pairs of runs at the same time")
    return [f"task {task}: run {new} started on {there} at {at:.3f} while run {old} ran on {here} since {since:.3f}"
            for at, task, old, here, since, new, there in pairs]


if __name__ == "__main__":
    run_case(HERE, lambda: Rig(entries=3, workers=[{"work_ms": work_ms}] * WORKERS, zone_delay_s=ZONE_DELAY_S), body)
