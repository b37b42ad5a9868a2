"""Check of the day's checks: two runs of a task at once and full workers must be reported, and nothing else.

Also of the plans, the heartbeats of other writers and the lines that are printed of an agent.
"""

import json
import random
import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tools"))
if len(sys.argv) > 1:
    sys.argv.pop(1)  # build directory, not used here
from lab.daychecks import check_runs, split_stalled  # noqa: E402
from lab.dayheartbeats import foreign_heartbeat, odd_heartbeat  # noqa: E402
from lab.daysite import LATER_TROUBLES, Site  # noqa: E402
from lab.daytrace import AFTER_MS, BEFORE_MS, lines_around  # noqa: E402
from lab.daytroubles import Troubles  # noqa: E402

HEARTBEAT = {"service": "kiosk", "address": "127.0.0.2:8080", "zone": "patan", "version": "v1", "slots": 8, "state": "ready",
             "coldMs": 0, "capacity": {"cpu": 4000, "memMb": 1024, "gpu": 0}, "labels": ["a"], "clockMs": 9, "seq": 4,
             "born": 1_700_000_000_000}
OTHER_ADDRESS = "127.0.0.3:8080"


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

    def test_foreign_heartbeats_are_well_formed_and_never_those_of_the_worker(self):
        """A variant that the worker could have sent itself would blame the agent for believing it."""
        choice, variants = random.Random(1), set()
        for _ in range(500):
            variant, data = foreign_heartbeat(choice, "i-1", HEARTBEAT, OTHER_ADDRESS)
            variants.add(variant)
            head, body = data.split(b"\r\n\r\n", 1)
            path = head.split()[1].decode()
            self.assertNotEqual((path, json.loads(body)), ("/Instances.Heartbeat/i-1", HEARTBEAT))
            self.assertNotEqual(path, "/Instances.Deregister/i-1")
        self.assertGreaterEqual(variants, {"other_id", "same_id_later", "same_id_no_born", "unknown_service", "deregister_other_id"})

    def test_odd_heartbeats_state_their_length(self):
        """A wrong length would make the agent wait for bytes instead of reading the odd ones."""
        choice, variants = random.Random(1), set()
        for _ in range(500):
            variant, data = odd_heartbeat(choice, "i-1", HEARTBEAT)
            variants.add(variant.split("_")[0])
            head, body = data.split(b"\r\n\r\n", 1)
            self.assertTrue(head.endswith(b"Content-Length: %d" % len(body)))
        self.assertEqual(variants, {"missing", "other", "unknown", "unreadable"})

    def test_lines_of_an_agent_are_those_near_the_pair_with_equal_ones_together(self):
        """The trace must show the decision that led to the pair, which may be hidden by many lines of one kind."""
        lost = {"event": "run_lost", "cause": "not listed"}
        rows = [{"wall": 5000 - BEFORE_MS - 1, "event": "started"}, {"wall": 5000 + AFTER_MS + 1, "event": "started"},
                {"wall": 4990, **lost, "job": "a"}, {"wall": 4991, **lost, "job": "b"}, {"wall": 4980, "what": "unreachable", "how": "reset"},
                {"wall": 5001, "event": "run_ordered"}, {"wall": 5002, "event": "worker_call_failed", "answer": "wrong worker"}]
        self.assertEqual(lines_around(rows, 5000), ["   -20 ms worker: unreachable how=reset", "   -10 ms run_lost cause=not listed (2 times)",
                                                    "    +2 ms worker_call_failed answer=wrong worker"])

    def test_each_kind_of_the_later_groups_can_be_played(self):
        """A kind without an action is skipped in silence but for a note."""
        for group in LATER_TROUBLES.values():
            for trouble in group:
                self.assertTrue(hasattr(Troubles, "_" + trouble["kind"]), trouble["kind"])

    def test_groups_of_later_troubles_are_drawn_apart(self):
        """A recorded seed must keep its plan when a group is added."""
        site = Site.__new__(Site)
        site.name, site.troubles = "a", [{"kind": "mute_conns"}]
        whole = site.plan(1, 30)
        for kinds in (("mute_conns",), *(tuple(each["kind"] for each in group) for group in LATER_TROUBLES.values())):
            self.assertEqual([row for row in whole if row[1]["kind"] in kinds], site.plan(1, 30, kinds))


if __name__ == "__main__":
    unittest.main()
