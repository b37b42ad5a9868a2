"""Loses the only worker of one kind for good while jobs wait for it, and looks for other jobs that never go on."""

import random
import sys
import threading
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

from checks import runs_between  # noqa: E402
from rig import NotRun, Rig, run_case, step, trouble  # noqa: E402

CPU, TASK_CPU = 16000, 1600
OTHER_WORKERS = 7
MEAN_MS, SPREAD, MAX_MS = 200, 0.4, 800
ESTIMATE_OFF = 0.4
TRAFFIC_S, LOSS_AT_S = 12, 7
# Jobs for the one kind of worker, until it is lost: about twice what it can do at once.
LABELLED_PER_S, LABELLED_TASKS = 50, 2
PLAIN_PER_S, PLAIN_TASKS = 10, 4
FINISH_S = 14
IDLE_S = 3

draw = random.Random(5)


def work_ms(task, run):
    return min(MAX_MS, MEAN_MS * random.Random(f"{task}/{run}").lognormvariate(0, SPREAD))


def estimate():
    return int(MEAN_MS * draw.uniform(1 - ESTIMATE_OFF, 1 + ESTIMATE_OFF))


def submit_traffic(rig):
    """Returns the accepted jobs of both kinds."""
    accepted = {"labelled": [], "plain": []}
    threads, names, number = [], list(rig.fronts), 0
    begin = time.monotonic()

    def submit(kind, job, steps, entry):
        if rig.submit(job, steps, entry=entry)[0] == 200:
            accepted[kind].append(job)

    def send(kind, steps):
        nonlocal number
        number += 1
        arguments = (kind, f"{number:016x}", steps, names[number % len(names)])
        threads.append(threading.Thread(target=submit, args=arguments))
        threads[-1].start()

    ticks = LABELLED_PER_S // PLAIN_PER_S
    lost = False
    for tick in range(TRAFFIC_S * LABELLED_PER_S):
        now = tick / LABELLED_PER_S
        time.sleep(max(0, begin + now - time.monotonic()))
        if now < LOSS_AT_S:
            send("labelled", [step(LABELLED_TASKS, estimate(), TASK_CPU, requires="b")])
        elif trouble() and not lost:
            lost = True
            rig.workers[0].vanish()
        if tick % ticks == 0:
            send("plain", [step(PLAIN_TASKS, estimate(), TASK_CPU), step(PLAIN_TASKS, estimate(), TASK_CPU, after=[0])])
    for thread in threads:
        thread.join()
    return accepted


def body(rig):
    accepted = submit_traffic(rig)
    if len(accepted["plain"]) < TRAFFIC_S * PLAIN_PER_S / 2:
        raise NotRun("too few jobs were accepted")
    time.sleep(FINISH_S)
    # From here on the rule asks that no accepted job stands still for IDLE_S while there is room for it.
    begin = time.monotonic()
    first = {job: rig.state(job) for job in accepted["plain"]}
    time.sleep(max(0, begin + IDLE_S + 0.5 - time.monotonic()))
    last = {job: rig.state(job) for job in accepted["plain"]}
    rows = rig.record.rows
    end_at = max(at for at, _, _ in rows)
    runs, running = runs_between(rows, end_at - IDLE_S, end_at)
    most = runs * TASK_CPU
    capacity = OTHER_WORKERS * CPU
    done = {job for job in accepted["plain"] if last[job][1].get("state") == "completed"}
    problems = [f"job {job}: {last[job]}" for job in accepted["plain"] if last[job][0] != 200]
    stuck = [job for job in accepted["plain"] if job not in done and job not in running
             and first[job][1].get("state") in ("queued", "running")]
    ended = {fields["task"] for _, what, fields in rows if what == "run_end" and fields["how"] == "done"}
    print(f"accepted: {len(accepted['plain'])} plain jobs, {len(done)} of them completed, {len(stuck)} stand still; "
          f"{len(accepted['labelled'])} labelled jobs; in the last {IDLE_S} s at most {most} of {capacity} were in use")
    if most < capacity / 2:
        for job in stuck:
            steps = [sum(f"{job}.0.{number}.{index}" in ended for index in range(PLAIN_TASKS)) for number in (0, 1)]
            problems.append(f"job {job} is {last[job][1]['state']}, nothing of it runs for {IDLE_S} s; tasks done by "
                            f"step: {steps}; processors in use: {most} of {capacity}")
    return problems


if __name__ == "__main__":
    workers = [{"labels": ("b",), "work_ms": work_ms}] + [{"labels": ("a",), "work_ms": work_ms}] * OTHER_WORKERS
    run_case(HERE, lambda: Rig(entries=2, workers=workers), body)
