"""Restarts an entry in a planned way while the store is down, and once more later, and looks for forgotten jobs."""

import signal
import sys
import threading
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

from rig import NotRun, Rig, run_case, step, trouble  # noqa: E402

RESTARTED, OTHERS = "edge-2", ("edge-0", "edge-1")
# A quiet time: a few small jobs before the outage.
EARLY_JOBS, EARLY_PAUSE_S = 8, 0.4
# As in the site file: platform_down with for_s = 4.5.
DOWN_S, STOP_AFTER_S, START_AFTER_S = 4.5, 0.2, 0.2
CALM_S = 6
JOBS, PAUSE_S, WORK_MS, TASK_CPU = 32, 0.06, 20000, 400
VISIBLE_MS = 3000


def work_ms(task, _run):
    return WORK_MS if task.startswith("a") else 50


def restart(entry):
    """As the platform restarts a machine: SIGTERM, and a new process soon after the old one has ended."""
    entry.signal(signal.SIGTERM)
    entry.process.wait(10)
    time.sleep(START_AFTER_S)
    entry.start()


def submit_jobs(rig):
    """Returns the accepted jobs, and when they were accepted."""
    accepted, threads = {}, []

    def submit(job, entry):
        if rig.submit(job, [step(1, WORK_MS, TASK_CPU)], entry=entry)[0] == 200:
            accepted[job] = time.monotonic()

    for number in range(JOBS):
        threads.append(threading.Thread(target=submit, args=(f"a{number:015x}", OTHERS[number % 2])))
        threads[-1].start()
        time.sleep(PAUSE_S)
    for thread in threads:
        thread.join()
    return accepted


def body(rig):
    entry = next(each for each in rig.entries if each.name == RESTARTED)
    for number in range(EARLY_JOBS):
        rig.submit(f"{number + 1:016x}", [step(1, 50)], entry=OTHERS[number % 2])
        time.sleep(EARLY_PAUSE_S)
    time.sleep(1)
    begin = time.monotonic()
    if trouble():
        rig.record.add("store_down")
        rig.store.go_down()
    time.sleep(STOP_AFTER_S)
    restart(entry)
    time.sleep(max(0, begin + DOWN_S - time.monotonic()))
    if trouble():
        rig.store.come_back()
        rig.record.add("store_back")
    time.sleep(CALM_S)
    accepted = submit_jobs(rig)
    if len(accepted) < JOBS / 2:
        raise NotRun(f"only {len(accepted)} of {JOBS} jobs were accepted")
    time.sleep(1)
    restart(entry)
    # Only entries that were not restarted are asked, so that all answers are those of machines in touch.
    time.sleep(VISIBLE_MS / 1000 + 1)
    problems = []
    for job, at in accepted.items():
        status, answer = rig.state(job, OTHERS[0])
        age_s = time.monotonic() - at
        if status == 410 and age_s > VISIBLE_MS / 1000:
            problems.append(f"job {job} was accepted {age_s:.1f} s ago and is answered with 410 {answer}")
    print(f"{len(accepted)} jobs accepted, {len(problems)} of them answered with 410")
    return problems


if __name__ == "__main__":
    run_case(HERE, lambda: Rig(entries=3, workers=[{"work_ms": work_ms}] * 6), body, durable_probes=False)
