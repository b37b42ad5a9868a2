"""Check of the day's checks: two runs of a task at once and full workers must be reported, and nothing else.

Also of the lines that are printed of an agent.
"""

import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tools"))
if len(sys.argv) > 1:
    sys.argv.pop(1)  # build directory, not used here
from lab.daychecks import check_runs, split_stalled  # noqa: E402
from lab.daytrace import AFTER_MS, BEFORE_MS, lines_around  # noqa: E402


def up(worker, cpu=2000):
    return {"at": 0, "what": "worker_up", "worker": worker, "cpu": cpu}


def row(at, what, run, worker, task="a.0.0.0"):
    return {"at": at, "what": what, "task": task, "run": run, "worker": worker, "cpu": 1500}


class DayChecks(unittest.TestCase):
    def test_second_run_before_the_end_of_the_first_is_reported(self):
        rows = [up("i-1"), up("i-2"), row(1, "start", 1, "i-1"), row(3, "done", 1, "i-1"), row(2, "start", 2, "i-2")]
        pairs, overfull = check_runs(rows)
        self.assertEqual([(first["run"], second["run"], first["end"]["what"]) for first, second in pairs], [(1, 2, "done")])
        self.assertEqual(overfull, [])

    def test_second_run_after_the_end_of_the_first_is_not_reported(self):
        rows = [up("i-1"), row(1, "start", 1, "i-1"), row(2, "lapsed", 1, "i-1"), row(3, "start", 2, "i-1")]
        self.assertEqual(check_runs(rows), ([], []))

    def test_run_that_died_with_its_worker_is_over(self):
        rows = [up("i-1"), up("i-2"), row(1, "start", 1, "i-1"), row(2, "crashed", 1, "i-1"), row(3, "start", 2, "i-2")]
        self.assertEqual(check_runs(rows), ([], []))

    def test_start_on_a_full_worker_is_reported(self):
        rows = [up("i-1"), row(1, "start", 1, "i-1"), row(2, "start", 1, "i-1", task="b.0.0.0")]
        self.assertEqual([each["task"] for each in check_runs(rows)[1]], ["b.0.0.0"])

    def test_pair_counts_unless_the_first_worker_stood_still_itself(self):
        rows = [up("i-1"), up("i-2"), row(1, "start", 1, "i-1"), row(3, "start", 2, "i-2"), row(4, "lapsed", 1, "i-1")]
        pairs, _ = check_runs(rows)
        for stall, counted in (({"at": 3.9, "worker": "i-1"}, 0), ({"at": 3.9, "worker": "i-2"}, 1), ({"at": 0.5, "worker": "i-1"}, 1)):
            self.assertEqual(len(split_stalled(pairs, [{"what": "stalled", "for_s": 0.4, **stall}])[0]), counted)

    def test_lines_of_an_agent_are_those_near_the_pair_with_equal_ones_together(self):
        """The trace must show the decision that led to the pair, which may be hidden by many lines of one kind."""
        lost = {"event": "run_lost", "cause": "not listed"}
        rows = [{"wall": 5000 - BEFORE_MS - 1, "event": "started"}, {"wall": 5000 + AFTER_MS + 1, "event": "started"},
                {"wall": 4990, **lost, "job": "a"}, {"wall": 4991, **lost, "job": "b"}, {"wall": 4980, "what": "unreachable", "how": "reset"},
                {"wall": 5001, "event": "run_ordered"}, {"wall": 5002, "event": "worker_call_failed", "answer": "wrong worker"}]
        self.assertEqual(lines_around(rows, 5000), ["   -20 ms worker: unreachable how=reset", "   -10 ms run_lost cause=not listed (2 times)",
                                                    "    +2 ms worker_call_failed answer=wrong worker"])


if __name__ == "__main__":
    unittest.main()
