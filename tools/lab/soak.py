"""Randomized soak of real entries and agents: faults from outside, and the promises that callers and workers can check."""

import random
import threading
import time
from dataclasses import dataclass

from lab.fleet import CONTINUE, STOP, TERM, Fleet, configuration

# A seed gives the same plan and the same jobs; the order of events within a run differs with the machine.
PROCESS_FAULTS = ("kill", "term", "pause")
LINK_FAULTS = ("delay", "drop", "reset", "half_open")
STORE_FAULTS = ("refuse", "silent", "lose", "late")
WORKER_FAULTS = ("lose", "late", "repeat")
# Lower seeds draw only from the first two worker faults, so that recorded seeds keep their plans.
FIRST_SEED_WITH_REPEATS = 10_000
# From this seed on, groups of processes are cut off, and some kept jobs have two steps of long tasks.
FIRST_SEED_WITH_GROUP_CUTS = 50_000
GROUP_CUT_S = (2.0, 7.0)
LONG_TASK_MS = (2_500, 6_000)
# A long job comes after this many others.
LONG_JOB_INTERVAL = 15
LATEST_RECOVERY_S = 12
LATEST_COMPLETION_S = 30
CANCEL_BOUND_S = 3
# Time from the start of a process until it handles signals.
START_TIME_S = 0.3


@dataclass(frozen=True)
class PlannedFault:
    at: float
    kind: str
    target: str
    length: float

    def text(self):
        return f"{self.at:6.2f} s  {self.kind} {self.target} for {self.length:.2f} s"


def make_plan(seed, seconds, entries, agents):
    """Faults that start within `seconds`; several are active at the same time."""
    draw = random.Random(seed)
    names = [f"entry-{n}" for n in range(entries)] + [f"agent-{n}" for n in range(agents)]
    links = [f"{part}/{name}" for name in names for part in ("store", "peer")]
    links += [f"worker/agent-{n}" for n in range(agents)]
    worker_faults = WORKER_FAULTS if seed >= FIRST_SEED_WITH_REPEATS else WORKER_FAULTS[:2]
    plan, at = [], 0.5
    while at < seconds:
        group, weight = draw.random(), draw.uniform(0.2, 2.5)
        if group < 0.35:
            plan.append(PlannedFault(at, draw.choice(PROCESS_FAULTS), draw.choice(names), weight))
        elif group < 0.65:
            plan.append(PlannedFault(at, draw.choice(LINK_FAULTS), draw.choice(links), weight))
        elif group < 0.8:
            plan.append(PlannedFault(at, "store_" + draw.choice(STORE_FAULTS), draw.choice(["all", *names]), weight))
        elif group < 0.9:
            plan.append(PlannedFault(at, "worker_" + draw.choice(worker_faults), f"i-{draw.randrange(agents)}", weight))
        else:
            plan.append(PlannedFault(at, draw.choice(("deal_anew", "configure", "kill_all")), "all", weight))
        at += draw.uniform(0.05, 0.9)
    if seed >= FIRST_SEED_WITH_GROUP_CUTS:
        plan += draw_group_cuts(random.Random(f"{seed}/cuts"), seconds, entries, agents)
    return sorted(plan, key=lambda fault: fault.at)


def draw_group_cuts(draw, seconds, entries, agents):
    """Groups of any size that reach neither the others nor the store, with most of the entries or few."""
    cuts = []
    for _ in range(draw.choice((1, 1, 2))):
        group = [f"entry-{n}" for n in draw.sample(range(entries), draw.randint(1, entries))]
        group += [f"agent-{n}" for n in draw.sample(range(agents), draw.randint(0, agents))]
        cuts.append(PlannedFault(draw.uniform(0.5, seconds), "group_cut", ",".join(group), draw.uniform(*GROUP_CUT_S)))
    return cuts


class Soak:
    """One run: a fleet behind a proxy, a load of jobs and a plan of faults. `problems` holds the broken promises."""

    def __init__(self, build, seed, seconds=8, entries=3, agents=4, extra_ttl_s=0):
        self.seed, self.seconds = seed, seconds
        self.plan = make_plan(seed, seconds, entries, agents)
        self.problems = []
        self._draw = random.Random(seed + 1)
        self._fleet = Fleet(build, entries=entries, agents=agents, cpu=6000, proxied=True, task_ms=self._task_ms)
        self._fleet.store.extra_ttl_s = extra_ttl_s
        self._entries, self._agents = entries, agents
        self._answers = {}
        # By job, when its cancel was acknowledged.
        self._cancelled = {}
        self._cancel_tried = set()
        self._version = 1
        self._threads = []
        self._store_faults = {}
        self._worker_faults = {}
        self._stopping = threading.Event()

    @staticmethod
    def _task_ms(task):
        if task.startswith("c"):
            return random.Random(task).randint(*LONG_TASK_MS)
        return 30 + sum(task.encode()) * 37 % 500

    def run(self):
        fleet = self._fleet
        try:
            fleet.store.fault = self._store_fault
            for worker in fleet.workers:
                worker.fault = lambda path, name=worker.name: self._worker_faults.get(name, "")
            fleet.start()
            load = threading.Thread(target=self._submit_jobs)
            load.start()
            self._inject()
            self._stopping.set()
            load.join()
            for thread in self._threads:
                thread.join()
            for process in [*fleet.entries, *fleet.agents]:
                self._check_alive(process)
            self._check_recovery()
            self._check_jobs()
            self._check_runs()
        finally:
            self._logs = {process.name: process.log_text() for process in [*fleet.entries, *fleet.agents]}
            fleet.stop()
        return self.problems

    def keep_logs(self, folder):
        """Copies what the processes wrote, and the history of the workers; call after run."""
        folder.mkdir(parents=True, exist_ok=True)
        for name, text in self._logs.items():
            (folder / f"{name}.log").write_text(text)
        rows = [f"{at:.3f} {what} {task} run {run} {worker}" for at, what, task, run, worker in sorted(self._fleet.history)]
        (folder / "history.txt").write_text("\n".join(rows) + "\n")

    # --- load ---

    def _submit_jobs(self):
        number = 0
        while not self._stopping.is_set():
            number += 1
            best_effort = self._draw.random() < 0.5
            long_job = self.seed >= FIRST_SEED_WITH_GROUP_CUTS and number % LONG_JOB_INTERVAL == 0
            best_effort = best_effort and not long_job
            job = ("c" if long_job else "b" if best_effort else "a") + f"{number:015x}"
            arguments = {"tasks": self._draw.randint(1, 4), "entry": self._draw.randrange(self._entries),
                         "best_effort": best_effort, "timeout": 4}
            if long_job:
                arguments.update(estimate=LONG_TASK_MS[1], steps=2)
            cancel = not best_effort and self._draw.random() < 0.1
            again = self._draw.random() < 0.3
            self._start_thread(self._submit, job, arguments, cancel, again)
            time.sleep(0.03)

    def _start_thread(self, body, *arguments):
        thread = threading.Thread(target=body, args=arguments)
        thread.start()
        self._threads.append(thread)

    def _submit(self, job, arguments, cancel, again):
        status, _ = self._fleet.submit(job, **arguments)
        statuses = [status]
        if status in (0, 502, 504) or again:
            time.sleep(1.3)
            arguments["entry"] = (arguments["entry"] + 1) % self._entries
            statuses.append(self._fleet.submit(job, **arguments)[0])
        self._answers[job] = statuses
        if not cancel or 200 not in statuses:
            return
        # A cancel without an answer may have been carried out.
        self._cancel_tried.add(job)
        if self._fleet.call("DELETE", job, entry=arguments["entry"], timeout=4)[0] == 200:
            self._cancelled[job] = time.monotonic()

    # --- faults ---

    def _store_fault(self, _path, door):
        return self._store_faults.get(door) or self._store_faults.get("all") or ""

    def _inject(self):
        begin = time.monotonic()
        for fault in self.plan:
            time.sleep(max(0, begin + fault.at - time.monotonic()))
            self._start_thread(self._apply, fault)
        time.sleep(max(0, begin + self.seconds - time.monotonic()))

    def _apply(self, fault):
        kind, _, what = fault.kind.partition("_")
        if fault.kind in PROCESS_FAULTS:
            self._disturb_process(fault)
        elif fault.kind in LINK_FAULTS:
            self._disturb_link(fault)
        elif kind == "store":
            door = "all" if fault.target == "all" else self._fleet.door_of(fault.target)
            self._hold(self._store_faults, door, what, fault.length)
        elif fault.kind == "group_cut":
            self._fleet.cut_off(fault.target.split(","), fault.length)
            time.sleep(fault.length)
        elif kind == "worker":
            self._hold(self._worker_faults, fault.target, what, fault.length)
        elif fault.kind == "deal_anew":
            self._fleet.store.deal_anew()
        elif fault.kind == "configure":
            self._version += 3
            self._fleet.store.write("keyed.op", "config", configuration(self._version))
        else:
            self._restart_all(fault.length)

    @staticmethod
    def _hold(table, key, value, length):
        table[key] = value
        time.sleep(length)
        if table.get(key) == value:
            del table[key]

    def _disturb_process(self, fault):
        process = self._fleet.process(fault.target)
        with process.lock:
            self._check_alive(process)
            if fault.kind == "pause":
                process.signal(STOP)
                time.sleep(fault.length)
                process.signal(CONTINUE)
                return
            if fault.kind == "term":
                # Until the process has installed its handler, the signal ends it; it has taken nothing by then.
                accepted = (0, -TERM) if process.age() < START_TIME_S else (0,)
                process.signal(TERM)
                code = process.wait()
                if code not in accepted:
                    self.problems.append(f"{process.name} ended with code {code} after SIGTERM")
            else:
                process.kill()
            time.sleep(min(fault.length, 1))
            process.start()

    def _restart_all(self, length):
        processes = [*self._fleet.entries, *self._fleet.agents]
        for process in processes:
            process.lock.acquire()
        for process in processes:
            self._check_alive(process)
            process.kill()
        time.sleep(min(length, 1))
        for process in processes:
            process.start()
            process.lock.release()

    def _disturb_link(self, fault):
        draw = random.Random(f"{self.seed}/{fault.at}")
        direction = draw.choice(("up", "down", "both"))
        self._fleet.disturb({"kind": fault.kind, "link": fault.target, "direction": direction, "delayMs": 80,
                             "jitterMs": 80, "forMs": int(fault.length * 1000), "id": f"{fault.at}"})

    # --- promises ---

    def _check_alive(self, process):
        if process.has_ended():
            self.problems.append(f"{process.name} ended by itself")
            process.start()

    def _check_recovery(self):
        begin = time.monotonic()
        try:
            self._fleet.wait_until_serving(timeout=LATEST_RECOVERY_S)
        except AssertionError:
            self.problems.append(f"no service {LATEST_RECOVERY_S} s after the last fault")
        self.recovery_s = time.monotonic() - begin

    def _check_jobs(self):
        started = {row[2].split(".")[0] for row in self._fleet.history if row[1] == "start"}
        for job, statuses in sorted(self._answers.items()):
            if all(status in (429, 503) for status in statuses) and job in started:
                self.problems.append(f"job {job} was refused and ran")
        # One deadline for all: they complete side by side.
        end = time.monotonic() + LATEST_COMPLETION_S
        for job, statuses in sorted(self._answers.items()):
            if job.startswith("b") or 200 not in statuses or job in self._cancel_tried:
                continue
            try:
                self._fleet.wait_for_state(job, "completed", timeout=max(0.1, end - time.monotonic()))
            except AssertionError as problem:
                self.problems.append(f"accepted {problem}")

    def _check_runs(self):
        history = sorted(self._fleet.history)
        kept = [row for row in history if row[2].startswith(("a", "c"))]
        for rows, after_done in ((kept, True), (history, False)):
            for at, task, run, worker in self._fleet.overlapping_runs(after_done, rows):
                self.problems.append(f"task {task} ran twice: run {run} on {worker} at {at:.2f}")
        for at, worker, task, run in self._fleet.overfull_workers():
            self.problems.append(f"{worker} was overfull with run {run} of {task} at {at:.2f}")
        for at, what, task, run, worker in history:
            cancelled_at = self._cancelled.get(task.split(".")[0])
            if what == "start" and cancelled_at and at > cancelled_at + CANCEL_BOUND_S:
                self.problems.append(f"task {task} of a cancelled job started on {worker} as run {run}")

    def summary(self):
        statuses = [status for answers in self._answers.values() for status in answers[:1]]
        counts = {status: statuses.count(status) for status in sorted(set(statuses))}
        return (f"seed {self.seed}: {len(self.plan)} faults, first answers {counts}, "
                f"{len(self._fleet.history)} starts and ends, served again after {self.recovery_s:.1f} s, "
                f"{len(self.problems)} broken promises")
