"""Task starts per second through one entry: jobs of zero-length tasks, as many as it takes."""

import argparse
import json
import sys
from pathlib import Path
from statistics import median

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from lab.benchlib import BenchCluster  # noqa: E402


def parse():
    parser = argparse.ArgumentParser(prog="tools/bench throughput", description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--workers", type=int, default=11)
    parser.add_argument("--rounds", type=int, default=3, help="runs; the medians are reported")
    parser.add_argument("--duration-ms", type=int, default=5000)
    parser.add_argument("--job-tasks", type=int, default=420)
    parser.add_argument("--jobs-in-flight", type=int, default=16)
    parser.add_argument("--threads", type=int, default=2, help="threads of the entry")
    return parser.parse_args()


def measure(cluster, options):
    before = {prefix: cluster.cpu_seconds(prefix) for prefix in ("entry-", "agent-", "target-")}
    report = cluster.bench([cluster.entry_specs[0]["name"]], "--jobs-in-flight", options.jobs_in_flight,
                           "--job-tasks", options.job_tasks, "--duration-ms", options.duration_ms)
    for prefix, used in before.items():
        cpu = cluster.cpu_seconds(prefix) - used
        report[f"{prefix}cpu_s"] = round(cpu, 2)
    report["starts_per_core_s"] = report["tasks"] / max(report["entry-cpu_s"], 0.01)
    return report


def main():
    options = parse()
    print("seed 0 (the load has no random part)", flush=True)
    reports = []
    with BenchCluster(options.build, entries=1, workers=options.workers,
                      entry_settings={"threads": options.threads}) as cluster:
        cluster.start()
        for _ in range(options.rounds):
            reports.append(measure(cluster, options))
            print(json.dumps(reports[-1]), flush=True)
    print(json.dumps({
        "bench": "throughput", "rounds": options.rounds, "failed": sum(report["failed"] for report in reports),
        "starts_per_s": round(median([report["starts_per_s"] for report in reports])),
        # Over the processor time of the entry alone.
        "starts_per_core_s": round(median([report["starts_per_core_s"] for report in reports])),
    }))
    return 0


if __name__ == "__main__":
    sys.exit(main())
