"""Check of the checker: each kind of violation in made-up records must be reported, and a clean run must not."""

import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tools"))
if len(sys.argv) > 1:
    sys.argv.pop(1)  # build directory, not used here
from lab.checker import Checker, Deployment  # noqa: E402

DEPLOYMENT = Deployment(zone_of_target={"a-1": "a", "b-1": "b"}, max_starts={"unlock": 1, "check": 2})


def start(echo, task, at=1_000, target="a-1", call="unlock", end=True):
    records = [{"what": "start", "timeMs": at, "target": target, "task": task, "call": call, "echo": echo}]
    if end:
        records.append({"what": "end", "timeMs": at + 50, "target": target, "task": task})
    return records


def call(echoes, outcome="complete", job=False, answers=..., **fields):
    if answers is ...:
        answers = list(echoes) if outcome == "complete" else None
    return {"record": "call", "key": "k", "answerKey": "k", "call": "unlock", "job": job, "echoes": list(echoes),
            "entry": "entry-1", "sentMs": 900, "doneMs": 1_200, "status": 200, "outcome": outcome, "reason": None,
            "answers": answers, "whole": True, "connected": True, **fields}


def found(targets, lab):
    return {v.guarantee for v in Checker(DEPLOYMENT, targets, lab).check()}


class CleanRuns(unittest.TestCase):
    def test_request_and_job(self):
        targets = start("x", "f1-0") + start("y", "f2-0") + start("z", "f2-1")
        self.assertEqual(found(targets, [call("x"), call("yz", job=True, key="j", answerKey="j")]), set())

    def test_repeatable_call_may_start_again(self):
        targets = start("x", "f1-0", call="check", end=False) + start("x", "f1-0.1", call="check")
        self.assertEqual(found(targets, [call("x")]), set())

    def test_not_run_then_resubmitted(self):
        lab = [call("x", "not_run"), call("x", sentMs=1_300, doneMs=1_900)]
        self.assertEqual(found(start("x", "f1-0", at=1_500), lab), set())

    def test_start_within_the_bound_or_after_the_return(self):
        lab = [{"record": "zone", "zone": "a", "state": "withdrawn", "atMs": 1_000},
               {"record": "zone", "zone": "a", "state": "in_service", "atMs": 9_000}]
        self.assertEqual(found(start("x", "f1-0", at=4_900) + start("y", "f2-0", at=9_100), lab), set())


class Violations(unittest.TestCase):
    def expect(self, guarantee, targets, lab):
        self.assertIn(guarantee, found(targets, lab))

    def test_g1_same_task_twice(self):
        self.expect("G1", start("x", "f1-0", call="check") + start("x", "f1-0", call="check"), [])

    def test_g1_more_starts_than_allowed(self):
        targets = [r for i in range(3) for r in start("x", f"f1-0.{i}", call="check")]
        self.expect("G1", targets, [])

    def test_g1_two_submissions_for_one_task(self):
        self.expect("G1", start("x", "f1-0", call="check") + start("x", "f2-0", call="check"), [])

    def test_g1_same_key_with_another_body(self):
        self.expect("G1", start("x", "f1-0") + start("y", "f1-0"), [call("x"), call("y")])

    def test_g1_different_answers_for_one_key(self):
        self.expect("G1", start("x", "f1-0"), [call("x"), call("x", answers=["w"])])

    def test_g2_answers_missing(self):
        self.expect("G2", start("x", "f1-0") + start("y", "f1-1"), [call("xy", job=True, answers=["x"])])

    def test_g2_complete_without_an_end(self):
        self.expect("G2", start("x", "f1-0") + start("y", "f1-1", end=False), [call("xy", job=True)])

    def test_g2_failed_with_part_of_the_answers(self):
        self.expect("G2", start("x", "f1-0"), [call("xy", "failed", job=True, answers=["x"])])

    def test_g3_late_start_in_a_withdrawn_zone(self):
        lab = [{"record": "zone", "zone": "a", "state": "withdrawn", "atMs": 1_000}]
        self.expect("G3", start("x", "f1-0", at=5_001), lab)

    def test_g3_before_the_return(self):
        lab = [{"record": "zone", "zone": "a", "state": "withdrawn", "atMs": 1_000},
               {"record": "zone", "zone": "a", "state": "in_service", "atMs": 9_000}]
        self.expect("G3", start("x", "f1-0", at=8_999), lab)

    def test_g4_crossed_answers(self):
        self.expect("G4", start("x", "f1-0") + start("y", "f1-1"), [call("xy", job=True, answers=["y", "x"])])

    def test_g4_answer_of_another_key(self):
        self.expect("G4", start("x", "f1-0"), [call("x", answerKey="other")])

    def test_g5_started_before_the_refusal(self):
        self.expect("G5", start("x", "f1-0"), [call("x", "not_run")])

    def test_g5_started_after_the_refusal(self):
        self.expect("G5", start("x", "f1-0", at=1_300), [call("x", "not_run")])

    def test_g6_second_start_of_a_non_repeatable_call(self):
        self.expect("G6", start("x", "f1-0", end=False) + start("x", "f1-0.1"), [])

    def test_g7_start_on_a_leaving_target(self):
        lab = [{"record": "leaving", "target": "a-1", "atMs": 1_000, "untilMs": 9_000}]
        self.expect("G7", start("x", "f1-0", at=5_001), lab)

    def test_g8_cut_by_a_planned_stop(self):
        lab = [{"record": "stop", "process": "entry-1", "atMs": 1_000, "exitedMs": 3_000, "exitCode": 0}]
        self.expect("G8", [], [*lab, call("x", None, whole=False)])
        self.expect("G8", [], [*lab, call("x", "unknown", reason="agent_lost", entry="entry-2")])

    def test_g8_stop_that_fails(self):
        self.expect("G8", [], [{"record": "stop", "process": "e", "atMs": 1, "exitedMs": 3, "exitCode": 1}])

    def test_g9_version_goes_back(self):
        lab = [{"record": "version", "process": "entry-1", "version": v, "atMs": i} for i, v in enumerate((2, 3, 2))]
        self.expect("G9", [], lab)

    def test_g9_accepted_but_not_in_force(self):
        lab = [{"record": "accepted", "version": 3, "atMs": 1_000},
               {"record": "version", "process": "entry-1", "version": 2, "atMs": 8_001}]
        self.expect("G9", [], lab)

    def test_g9_not_in_force_after_faults(self):
        lab = [{"record": "accepted", "version": 3, "atMs": 1_000}, {"record": "fault", "kind": "kill"},
               {"record": "settled", "atMs": 20_000},
               {"record": "version", "process": "entry-1", "version": 2, "atMs": 20_001}]
        self.expect("G9", [], lab)

    def test_g9_one_version_twice(self):
        self.expect("G9", [], [{"record": "accepted", "version": 3, "atMs": t} for t in (1, 2)])


if __name__ == "__main__":
    unittest.main()
