"""Cuts one entry off for 12 s, and looks for jobs that stand still for good once it owns their partitions again."""

import sys
import threading
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

from checks import runs_between  # noqa: E402
from rig import NotRun, Rig, run_case, step, trouble  # noqa: E402

CUT_OFF, OTHERS = "edge-2", ("edge-0", "edge-1")
# As in the day scale-2 of the site file: node_cut with for_s = 12.
CUT_S = 12
TRAFFIC_FROM_S, JOBS, PAUSE_S = 8, 30, 0.12
WORK_MS = 5000
WORKERS, CPU, TASK_CPU = 6, 16000, 1600
FINISH_S, IDLE_S = 14, 3


def work_ms(task, _run):
    return 50 if task.startswith("f") else WORK_MS


def submit_jobs(rig):
    accepted, threads = [], []

    def submit(job, entry):
        for attempt in range(4):
            status, _ = rig.submit(job, [step(1, WORK_MS, TASK_CPU)], entry=OTHERS[(entry + attempt) % 2], timeout=1.5)
            if status == 200:
                accepted.append(job)
            if status not in (0, 502, 504):
                return
            time.sleep(1.3)

    for number in range(JOBS):
        threads.append(threading.Thread(target=submit, args=(f"{number + 1:016x}", number)))
        threads[-1].start()
        time.sleep(PAUSE_S)
    for thread in threads:
        thread.join()
    return accepted


def body(rig):
    begin = time.monotonic()
    if trouble():
        rig.cut(CUT_OFF)
    time.sleep(TRAFFIC_FROM_S)
    accepted = submit_jobs(rig)
    if len(accepted) < JOBS / 2:
        raise NotRun(f"only {len(accepted)} of {JOBS} jobs were accepted")
    time.sleep(max(0, begin + CUT_S - time.monotonic()))
    if trouble():
        rig.mend(CUT_OFF)
    time.sleep(FINISH_S)
    # From here on the rule asks that no accepted job stands still for IDLE_S while there is room for it.
    time.sleep(IDLE_S)
    states = {job: rig.state(job) for job in accepted}
    end = max(at for at, _, _ in rig.record.rows)
    busiest, active = runs_between(rig.record.rows, end - IDLE_S, end)
    refused = [rig.submit(f"{0xE0 + number:02x}" * 8, [step(1, 50, TASK_CPU)], entry=OTHERS[number % 2])[0]
               for number in range(24)].count(429)
    problems = [f"job {job}: {states[job]}" for job in accepted if states[job][0] != 200]
    stuck = [job for job in accepted if states[job][1].get("state") in ("queued", "running") and job not in active]
    print(f"{len(accepted)} jobs accepted, {len(stuck)} stand still; at most {busiest} runs at a time in the last "
          f"{IDLE_S} s; {refused} of 24 new jobs refused")
    if busiest * TASK_CPU < WORKERS * CPU / 2:
        problems += [f"job {job} is {states[job][1]['state']}, nothing of it runs for {IDLE_S} s" for job in stuck]
    return problems


if __name__ == "__main__":
    run_case(HERE, lambda: Rig(entries=3, workers=[{"work_ms": work_ms}] * WORKERS, cut_off=(CUT_OFF,)), body)
