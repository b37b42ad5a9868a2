"""Response times and wasted messages for each routing policy and load, against one shared queue."""

import argparse
import json
import sys
from pathlib import Path
from statistics import median

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from lab.benchlib import BenchCluster  # noqa: E402


def parse():
    parser = argparse.ArgumentParser(prog="tools/bench routing", description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--policies", default="credits,powerOfTwo,random")
    parser.add_argument("--loads", default="0.3,0.6,0.8,0.95")
    parser.add_argument("--entries", type=int, default=3)
    parser.add_argument("--workers", type=int, default=11)
    parser.add_argument("--rounds", type=int, default=3, help="runs of each point; the medians are reported")
    parser.add_argument("--duration-ms", type=int, default=20000)
    parser.add_argument("--warmup-ms", type=int, default=3000)
    parser.add_argument("--job-share", type=float, default=0)
    return parser.parse_args()


def measure(cluster, options, load, seed):
    entries = [spec["name"] for spec in cluster.entry_specs]
    before = {name: cluster.total(name) for name in ("wasted_messages_total", "task_refusals_total")}
    report = cluster.bench(
        entries, "--seed", seed, "--load", load, "--slots", cluster.slots(), "--duration-ms", options.duration_ms,
        "--warmup-ms", options.warmup_ms, "--job-share", options.job_share, "--target",
        cluster.address(f"target-{cluster.worker_specs[0]['name']}"))
    wasted = cluster.total("wasted_messages_total") - before["wasted_messages_total"]
    report["wasted_per_task"] = wasted / report["tasks"]
    report["refusals"] = cluster.total("task_refusals_total") - before["task_refusals_total"]
    return report


def measure_policy(options, policy):
    # The policies without credits queue at the agents, so the agents' queues must not be short.
    agent_settings = {} if policy == "credits" else {"agentQueue": 10000}
    results = []
    with BenchCluster(options.build, entries=options.entries, workers=options.workers,
                      entry_settings={"policy": policy}, agent_settings=agent_settings) as cluster:
        cluster.start()
        for load in [float(text) for text in options.loads.split(",")]:
            reports = []
            for turn in range(options.rounds):
                reports.append(measure(cluster, options, load, options.seed + turn))
                print(policy, json.dumps(reports[-1]), flush=True)
            point = {name: round(median([report[name] for report in reports]), 4)
                     for name in ("p50_ratio", "p99_ratio", "wasted_per_task")}
            point["failed"] = sum(report["failed"] for report in reports)
            results.append({"policy": policy, "load": load, **point})
    return results


def main():
    options = parse()
    print("seed", options.seed, flush=True)
    results = [point for policy in options.policies.split(",") for point in measure_policy(options, policy)]
    print(json.dumps({"bench": "routing", "seed": options.seed, "rounds": options.rounds, "results": results}))
    return 1 if any(point["failed"] for point in results) else 0


if __name__ == "__main__":
    sys.exit(main())
