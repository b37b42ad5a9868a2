"""A task that waits for room uses up the run numbers of its owner's epoch, and then runs twice around a cut."""

import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-3"))

from rig import TERM, ZONES, Deployment, run_case  # noqa: E402

JOB = "00000000000000b2"
TASK = f"{JOB}.0.0.0"
# Each worker has one long task. The job's task, 7 cores, finds 6 free.
LONG_CPU, JOB_CPU = 10000, 7000
WAIT_S = 60
JOB_S = 8
# node_cut, how = all: for at most 12 s, of at most 0.35 of the machines. Here it is 2 of 11.
CUT_S = 9


def owner_of(deployment, task):
    """Index of the entry that last ordered the task, and the run's number, by the entries' logs."""
    newest = (0, None, 0)
    for index, entry in enumerate(deployment.entries):
        for line in entry.log.read_text(errors="replace").splitlines():
            if '"run_ordered"' in line and task in line:
                event = json.loads(line)
                if event["t"] > newest[0]:
                    newest = (event["t"], index, event["run"])
    return newest[1], newest[2]


def broken(record):
    """Starts after a run has ended `done` whose end is taken note of, without a lapse of the lease in between."""
    result = []
    for note in record.select("taken_note", task=TASK, how="done"):
        for end in record.select("end", task=TASK, how="done", run=note["run"], worker=note["worker"]):
            lapses = [row for row in record.select("lapse", worker=note["worker"]) if end["at"] <= row["at"] <= note["at"]]
            later = [row for row in record.select("start", task=TASK) if row["at"] > end["at"]]
            if later and not lapses:
                result.append((end, later, note))
    return result


def case(folder, trouble):
    lasting = {}

    def work(task, _run, worker):
        if task.startswith("f"):
            return 0.01, "done"
        if task.startswith("1"):
            lasting[worker.machine] = task
            return 300, "done"
        return JOB_S, "done"

    deployment = Deployment(folder, work, entries=8, workers=4, proxied=True)
    record = deployment.record
    try:
        deployment.start()
        deployment.wait_until_serving()
        time.sleep(4)
        for number in range(4):
            body = deployment.job([{"count": 1, "cpu": LONG_CPU, "memMb": 64, "estimateMs": 300000}])
            if deployment.call("POST", f"/q/1{number:015x}", body, number)[0] != 200:
                raise RuntimeError("a long job was not accepted")
            time.sleep(0.3)
        if len(lasting) != 4:
            raise RuntimeError("the long tasks are not on all workers")
        body = deployment.job([{"count": 1, "cpu": JOB_CPU, "memMb": 64, "estimateMs": JOB_S * 1000}])
        if deployment.call("POST", f"/q/{JOB}", body, 1)[0] != 200:
            raise RuntimeError("the job was not accepted")
        time.sleep(1)
        owner, number = owner_of(deployment, TASK)
        record.add("waiting", owner=deployment.entries[owner].name, run=number)
        # Planned work: the owner is stopped and removed.
        deployment.entries[owner].signal(TERM)
        record.add("term", process=deployment.entries[owner].name)
        time.sleep(WAIT_S)
        owner, number = owner_of(deployment, TASK)
        record.add("waiting", owner=deployment.entries[owner].name, run=number)
        # The long task of one worker ends; the job's task starts there.
        machine = deployment.workers[0].machine
        deployment.workers[0].finish(lasting[machine])
        end = record.now() + 10
        while not record.select("start", task=TASK) and record.now() < end:
            time.sleep(0.01)
        time.sleep(JOB_S - 0.5)
        if trouble:
            for name in (deployment.entries[owner].name, deployment.agents[0].name):
                deployment.cut_off([name], CUT_S)
        # The other long tasks end meanwhile.
        time.sleep(2)
        for worker in deployment.workers[1:]:
            worker.finish(lasting[worker.machine])
        time.sleep(CUT_S + 6)
        other = next(index for index, entry in enumerate(deployment.entries) if not entry.ended() and index != owner)
        deployment.call("GET", f"/q/{JOB}", entry=other)
        faults = broken(record)
        for end_row, later, note in faults:
            print(f"run {end_row['run']} ended done at {end_row['at']:.2f} s and was taken note of at {note['at']:.2f} s; "
                  f"started again as {[(row['run'], round(row['at'], 2)) for row in later]}")
        record.add("result", broken=len(faults))
        return not faults
    finally:
        deployment.stop()


run_case(case)
