"""Withdraws a whole availability zone under full load and returns it, on both examples.

work_ratio: tasks completed from withdrawal to 10 s after return, over what the remaining slots could do at the rate
for each slot that was measured before the withdrawal in the same run. All slots count from the return on.
work_ratio_nominal: the same with one task for each slot every run time, without any overhead.
late_starts: starts in the withdrawn zone later than freshnessMs plus 1,000 ms after the change was accepted.

Usage: tools/bench drill [--rounds N] [--seed N] [--build DIR]
"""

import argparse
import json
import random
import statistics
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from lab.checker import FRESHNESS_MS, MARGIN_MS  # noqa: E402
from lab.cluster import ROOT, Cluster  # noqa: E402
from lab.operators import Operators  # noqa: E402
from lab.recorder import Recorder, Submission, now_ms, submit  # noqa: E402

RUN_MS = 200
BASELINE_S = 6.0
WITHDRAWN_S = 12.0
RETURNED_S = 10.0
JOBS_AT_A_TIME = 6
REPEATABLE = {"himal": "check_deposit", "qalhat": "lookup"}


class Saturation:
    """Keeps enough jobs of 420 tasks in flight that no slot lacks work."""

    def __init__(self, cluster, recorder, call, seed):
        self.cluster, self.recorder, self.call, self.seed = cluster, recorder, call, seed
        self._ending = threading.Event()
        self._threads = [threading.Thread(target=self._run, args=(i,), daemon=True) for i in range(JOBS_AT_A_TIME)]
        for thread in self._threads:
            thread.start()

    def _run(self, number):
        entries = [spec["name"] for spec in self.cluster.entry_specs]
        count = 0
        while not self._ending.is_set():
            name = f"drill-{self.seed}-{number}-{count}"
            count += 1
            entry = entries[(number + count) % len(entries)]
            submit(self.recorder, Submission(self.cluster.deployment["service"], name, self.call,
                                             [f"{name}/{i}" for i in range(420)], [RUN_MS] * 420, True, 60_000),
                   entry, self.cluster.caller_port(entry), timeout=90)

    def end(self):
        self._ending.set()
        for thread in self._threads:
            thread.join(90)


def ends_between(records, begin, end):
    return sum(record["what"] == "end" and begin <= record["timeMs"] < end for record in records)


def drill(build, example, seed):
    with Cluster(build, example) as cluster:
        cluster.start()
        recorder = Recorder(cluster.directory / "lab.records")
        operators = Operators(cluster, recorder)
        zones = sorted({spec["zone"] for spec in cluster.worker_specs})
        zone = random.Random(seed).choice(zones)
        slots = cluster.deployment["slots"]
        all_slots = slots * len(cluster.worker_specs)
        remaining = slots * sum(spec["zone"] != zone for spec in cluster.worker_specs)
        load = Saturation(cluster, recorder, REPEATABLE[example], seed)
        time.sleep(2.0)
        baseline_began = now_ms()
        time.sleep(BASELINE_S)
        withdrawn = now_ms()
        accepted = operators.set_zone(zone, "withdrawn")
        accepted_at = now_ms()
        time.sleep(WITHDRAWN_S)
        returning = now_ms()
        accepted = operators.set_zone(zone, "in_service") and accepted
        returned = now_ms()
        time.sleep(RETURNED_S)
        end = returned + int(RETURNED_S * 1000)
        load.end()
        records = cluster.target_records()
    zone_of = {spec["name"]: spec["zone"] for spec in cluster.worker_specs}
    rate = ends_between(records, baseline_began, withdrawn) / (withdrawn - baseline_began) / all_slots
    slot_ms = remaining * (returned - withdrawn) + all_slots * (end - returned)
    done = ends_between(records, withdrawn, end)
    late = sum(r["what"] == "start" and zone_of[r["target"]] == zone
               and accepted_at + FRESHNESS_MS + MARGIN_MS < r["timeMs"] < returning for r in records)
    lab = [json.loads(line) for line in recorder.path.read_text().splitlines()]
    return {"example": example, "zone": zone, "accepted": accepted, "work_ratio": round(done / (rate * slot_ms), 4),
            "work_ratio_nominal": round(done * RUN_MS / slot_ms, 4), "late_starts": late, "tasks": done,
            "jobs_not_complete": sum(r["record"] == "call" and r["outcome"] != "complete" for r in lab)}


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=1)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--build", default=str(ROOT / "build"))
    options = parser.parse_args()
    print(f"seed {options.seed}")
    summary = {"bench": "drill", "seed": options.seed, "rounds": options.rounds}
    for example in ("himal", "qalhat"):
        rounds = [drill(options.build, example, options.seed + i) for i in range(options.rounds)]
        for result in rounds:
            print(json.dumps(result), flush=True)
        summary[example] = {"work_ratio": statistics.median(r["work_ratio"] for r in rounds),
                            "work_ratio_nominal": statistics.median(r["work_ratio_nominal"] for r in rounds),
                            "late_starts": sum(r["late_starts"] for r in rounds),
                            "jobs_not_complete": sum(r["jobs_not_complete"] for r in rounds)}
    summary["work_ratio"] = min(summary[e]["work_ratio"] for e in ("himal", "qalhat"))
    summary["late_starts"] = sum(summary[e]["late_starts"] for e in ("himal", "qalhat"))
    print(json.dumps(summary))
    return 0


if __name__ == "__main__":
    sys.exit(main())
