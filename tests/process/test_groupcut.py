"""Real processes while a group of entries and agents reaches neither the others nor the store."""

import sys
import time
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tools"))

from lab.fleet import Fleet  # noqa: E402
from lab.soak import Soak  # noqa: E402

BUILD = sys.argv.pop(1) if len(sys.argv) > 1 else "build"
TASK_MS = 9000
CUT_S = 5.0
JOBS = 12
# Soaks with cuts of groups beside other faults: seeds that have failed, each with its cause, and another one.
REGRESSIONS = {58710: "entries that were cut off from the store went on as owners because they were most of the entries"}
CI_SEEDS = (50001,)


class GroupCutTest(unittest.TestCase):
    # Guards against two runs of a task at the same time (review/6): two of three entries are cut off from the store and go
    # on as owners, beside the third one, to which the store gives their partitions.
    def test_most_entries_run_nothing_beside_the_new_owner(self):
        fleet = Fleet(BUILD, entries=3, agents=6, proxied=True, task_ms=lambda task: TASK_MS if task[0] == "c" else 50)
        self.addCleanup(fleet.stop)
        fleet.start()
        jobs = [f"c{number:015x}" for number in range(JOBS)]
        for job in jobs:
            self.assertEqual(fleet.submit(job, estimate=TASK_MS)[0], 200)
        time.sleep(1)
        fleet.cut_off(["entry-0", "entry-1", "agent-0", "agent-1", "agent-2"], CUT_S)
        time.sleep(CUT_S)
        for job in jobs:
            fleet.wait_for_state(job, "completed", entry=2, timeout=40)
        self.assertEqual(fleet.overlapping_runs(), [])

    # Guards against promises that a cut of a group breaks together with other faults.
    def test_no_promise_is_broken(self):
        for seed in (*REGRESSIONS, *CI_SEEDS):
            with self.subTest(seed=seed):
                soak = Soak(BUILD, seed)
                problems = soak.run()
                print(soak.summary())
                if problems:
                    soak.keep_logs(Path(BUILD) / "soak-logs" / str(seed))
                self.assertEqual(problems, [])


if __name__ == "__main__":
    unittest.main()
