"""Independent check of the guarantees G1 to G9 (docs/design.md, section 1.1).

It reads only what stand-in targets, callers and operators of the lab wrote, never the events of the system itself.

Target records (one JSON object a line): timeMs, target, what (start, end, stop), task, call, echo.
Lab records: "record" is one of
  call      one submission: key, call, job, echoes, entry, sentMs, doneMs, status, outcome, reason, answerKey, answers
            (list of echoes), whole (whether a whole response arrived), connected
  zone      zone, state (withdrawn or in_service), atMs: an accepted change
  leaving   target, atMs, untilMs: the target announced that it leaves
  accepted  version, atMs: an accepted configuration change, with its author
  version   process, version, atMs, author (optional): what an entry said is in force
  stop      process, atMs, exitedMs, exitCode: a planned stop
  fault     atMs, untilMs, kind: an injected fault
  settled   atMs: all faults were over, and time passed for the processes to settle
"""

import json
from collections import defaultdict
from dataclasses import dataclass

GUARANTEES = tuple(f"G{i}" for i in range(1, 10))
FRESHNESS_MS = 3_000
MARGIN_MS = 1_000
SPREAD_MS = 7_000
# An entry that stops takes new connections for this long (drainMs), so that the load balancer can hear of it first.
DRAIN_MS = 1_000
LOSSES = ("agent_lost", "target_lost", "entry_lost", "owner_unavailable")


@dataclass(frozen=True)
class Violation:
    guarantee: str
    text: str


@dataclass
class Deployment:
    """What the checker has to know beside the records."""

    zone_of_target: dict
    max_starts: dict  # starts allowed for each call


def read_lines(path):
    """Records of a file whose last line may be incomplete because its writer was killed."""
    records = []
    for line in path.read_text().splitlines() if path.exists() else []:
        if line.endswith("}"):
            records.append(json.loads(line))
    return records


def submission_of(task):
    return task.split("-", 1)[0]


class Checker:
    def __init__(self, deployment, target_records, lab_records):
        self.deployment = deployment
        self.starts = sorted((r for r in target_records if r["what"] == "start"), key=lambda r: r["timeMs"])
        self.ended = {r["task"] for r in target_records if r["what"] == "end"}
        self.starts_of = defaultdict(list)
        for start in self.starts:
            self.starts_of[start.get("echo")].append(start)
        self.lab = defaultdict(list)
        for record in lab_records:
            self.lab[record["record"]].append(record)
        self.calls = self.lab["call"]
        self.violations = []

    def report(self, guarantee, text):
        self.violations.append(Violation(guarantee, text))

    def check(self):
        self.check_starts()
        self.check_same_answer()
        self.check_wholeness()
        self.check_echoes()
        self.check_not_run()
        self.check_zones()
        self.check_leaving()
        self.check_planned_stops()
        self.check_versions()
        return self.violations

    # --- G1, G6 ---

    def check_starts(self):
        by_task = defaultdict(list)
        for start in self.starts:
            by_task[start["task"]].append(start)
        for task, starts in by_task.items():
            if len(starts) > 1:
                self.report("G1", f"task {task} started {len(starts)} times: {where(starts)}")
        for echo, starts in self.starts_of.items():
            most = self.deployment.max_starts[starts[0]["call"]]
            if len({submission_of(start["task"]) for start in starts}) > 1:
                self.report("G1", f"{echo} started under several submissions: {where(starts)}")
            if most == 1 and len(starts) > 1:
                self.report("G6", f"{echo} of non-repeatable {starts[0]['call']} started again: {where(starts)}")
            elif len(starts) > most:
                self.report("G1", f"{echo} started {len(starts)} times, {most} are allowed: {where(starts)}")

    def check_same_answer(self):
        complete = defaultdict(list)
        for call in self.calls:
            if call.get("outcome") == "complete":
                complete[(call["key"], call["job"])].append(call)
        for (key, _), calls in complete.items():
            if any(call["echoes"] != calls[0]["echoes"] for call in calls):
                self.report("G1", f"key {key} was answered as complete for two different bodies")
            elif any(call["answers"] != calls[0]["answers"] for call in calls):
                self.report("G1", f"key {key} got two different answers")

    # --- G2, G4 ---

    def check_wholeness(self):
        ended_echoes = {start.get("echo") for start in self.starts if start["task"] in self.ended}
        for call in self.calls:
            answers = call.get("answers")
            if call.get("outcome") == "complete":
                if answers is None or len(answers) != len(call["echoes"]):
                    self.report("G2", f"{describe(call)}: {len(answers or [])} answers of {len(call['echoes'])}")
                missing = [echo for echo in call["echoes"] if echo not in ended_echoes]
                if missing:
                    self.report("G2", f"{describe(call)}: complete, but {missing[0]} did not end on any target")
            elif answers:
                self.report("G2", f"{describe(call)}: {call.get('outcome')} with {len(answers)} answers")

    def check_echoes(self):
        for call in self.calls:
            if call.get("whole") and call.get("answerKey") not in (None, call["key"]):
                self.report("G4", f"{describe(call)}: answer names key {call['answerKey']}")
            answers = call.get("answers")
            if call.get("outcome") == "complete" and answers is not None and len(answers) == len(call["echoes"]) \
                    and answers != call["echoes"]:
                self.report("G4", f"{describe(call)}: got {answers[:3]}, expected {call['echoes'][:3]}")

    # --- G5 ---

    def check_not_run(self):
        by_key = defaultdict(list)
        for call in self.calls:
            by_key[(call["key"], call["job"], tuple(call["echoes"]))].append(call)
        for calls in by_key.values():
            for call in calls:
                if call.get("outcome") == "not_run":
                    self.check_one_not_run(call, calls)

    def check_one_not_run(self, call, calls):
        # A submission that ended after this answer may rightly start the task later.
        excused_until = max((other["doneMs"] for other in calls
                             if other is not call and other["doneMs"] > call["doneMs"]), default=None)
        for echo in call["echoes"]:
            for start in self.starts_of.get(echo, ()):
                if start["timeMs"] > call["doneMs"] and excused_until is not None:
                    continue
                self.report("G5", f"{describe(call)}: not_run ({call.get('reason')}) but started: {where([start])}")
                return

    # --- G3, G7 ---

    def check_zones(self):
        bound = FRESHNESS_MS + MARGIN_MS
        withdrawn = {}
        periods = defaultdict(list)
        for change in sorted(self.lab["zone"], key=lambda r: r["atMs"]):
            if change["state"] == "withdrawn":
                withdrawn.setdefault(change["zone"], change["atMs"])
            elif change["zone"] in withdrawn:
                # A start may follow the append of the return, which comes before its acceptance is known.
                until = change.get("beganMs", change["atMs"])
                periods[change["zone"]].append((withdrawn.pop(change["zone"]), until))
        for zone, since in withdrawn.items():
            periods[zone].append((since, float("inf")))
        for start in self.starts:
            for since, until in periods.get(self.deployment.zone_of_target[start["target"]], ()):
                if since + bound < start["timeMs"] < until:
                    self.report("G3", f"{where([start])} started {start['timeMs'] - since} ms after the withdrawal")

    def check_leaving(self):
        for leaving in self.lab["leaving"]:
            late = [start for start in self.starts if start["target"] == leaving["target"]
                    and leaving["atMs"] + FRESHNESS_MS + MARGIN_MS < start["timeMs"] < leaving["untilMs"]]
            if late:
                self.report("G7", f"{leaving['target']} leaves since {leaving['atMs']}: {where(late)}")

    # --- G8 ---

    def check_planned_stops(self):
        for stop in self.lab["stop"]:
            if stop["exitCode"] != 0:
                self.report("G8", f"planned stop of {stop['process']} ended with {stop['exitCode']}")
        if self.lab["fault"]:
            return  # a cut could come from the fault
        for stop in self.lab["stop"]:
            for call in self.calls:
                if call["doneMs"] < stop["atMs"] or call["sentMs"] > stop["exitedMs"]:
                    continue
                in_time = call["sentMs"] < stop["atMs"] + DRAIN_MS
                cut = call["entry"] == stop["process"] and in_time and not call["whole"]
                if cut or call.get("reason") in LOSSES:
                    self.report("G8", f"stop of {stop['process']}: {describe(call)} was cut ({call.get('reason')})")

    # --- G9 ---

    def check_versions(self):
        seen = defaultdict(list)
        for record in self.lab["version"]:
            if record["version"] > 0:
                seen[record["process"]].append(record)
        for process, records in seen.items():
            records.sort(key=lambda r: r["atMs"])
            for before, after in zip(records, records[1:]):
                if after["version"] < before["version"]:
                    self.report("G9", f"{process} went from version {before['version']} to {after['version']}")
        accepted = self.lab["accepted"]
        if len({record["version"] for record in accepted}) != len(accepted):
            self.report("G9", "two changes were accepted as the same version")
        self.check_in_force(seen)

    def check_in_force(self, seen):
        """Each accepted change must be in force when all faults were over and the processes had settled."""
        accepted = self.lab["accepted"]
        settled = max((record["atMs"] for record in self.lab["settled"]), default=None)
        faulty = bool(self.lab["fault"])
        for process, records in seen.items():
            for change in accepted:
                due = change["atMs"] + SPREAD_MS if not faulty else settled
                if due is None:
                    continue
                due = max(due, change["atMs"] + SPREAD_MS)
                late = [r for r in records if r["atMs"] > due and r["version"] < change["version"]]
                if late:
                    self.report("G9", f"{process} had version {late[0]['version']} at {late[0]['atMs']}, but "
                                      f"{change['version']} was accepted at {change['atMs']}")


def describe(call):
    return f"{'job' if call['job'] else 'request'} {call['key']} at {call['entry']} ({call['sentMs']})"


def where(starts):
    return ", ".join(f"{s['task']} on {s['target']} at {s['timeMs']}" for s in starts[:3])


def count(violations):
    """Number of violations for each guarantee."""
    return {guarantee: sum(v.guarantee == guarantee for v in violations) for guarantee in GUARANTEES}
