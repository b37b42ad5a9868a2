"""A session with the Himal example: a job, requests, what is in force, the timeline, and a graceful stop."""

import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from lab.cluster import Cluster  # noqa: E402


def main():
    build = sys.argv[1] if len(sys.argv) > 1 else "build"
    with Cluster(build) as cluster:
        cluster.start()
        print(f"log, {len(cluster.entry_specs)} entries, {len(cluster.worker_specs)} agents and targets are running")

        tasks = [{"runMs": 20, "echo": index} for index in range(420)]
        status, answer = cluster.job("entry-1", "quickstart-job", "check_deposit", tasks)
        echoes = [item["echo"] for item in answer.get("answers", [])]
        print(f"job of 420 tasks: {status} {answer['outcome']}, answers in order: {echoes == list(range(420))}")

        for call in ("unlock", "check_deposit", "confirm_return"):
            status, answer = cluster.request("entry-2", f"quickstart-{call}", call, {"runMs": 50, "echo": call})
            print(f"{call}: {status} {json.dumps(answer)}")
        status, answer = cluster.request("entry-3", "quickstart-unlock", "unlock", {"runMs": 50, "echo": "unlock"})
        print(f"unlock submitted again to another entry: {status} {json.dumps(answer)}")

        shown = cluster.run("show", "--entry", cluster.address("entry-1"))
        print("in force:", shown.stdout.strip())
        processes = [f"entry-{i + 1}" for i in range(len(cluster.entry_specs))]
        processes += [f"agent-{spec['name']}" for spec in cluster.worker_specs]
        arguments = [part for name in processes for part in ("--process", cluster.address(name))]
        timeline = cluster.run("timeline", *arguments)
        lines = timeline.stdout.splitlines()
        print(f"timeline: {len(lines)} events, the last ten:")
        print("\n".join(lines[-10:]))

        codes = cluster.stop_all()
        failed = {name: code for name, code in codes.items() if code != 0}
        print("stopped gracefully:", not failed, failed or "")
        return 0 if echoes == list(range(420)) and all(code == 0 for code in codes.values()) else 1


if __name__ == "__main__":
    sys.exit(main())
