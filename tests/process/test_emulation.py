"""Days in virtual time: those that have found a fault, and some more."""

import subprocess
import sys
import unittest
from pathlib import Path

BUILD = sys.argv.pop(1) if len(sys.argv) > 1 else "build"

# Entries that are cut off from everything or restarted while the store is down, jobs of two steps, and clients that ask
# for accepted jobs at any entry.
ISOLATIONS = ("--troubles", "6", "--isolations", "4", "--two-step-share", "0.4", "--asked-share", "0.6", "--kept-share",
              "0.6")
# Agents hear announcements that are not of their worker, and workers repeat answers to list polls.
STRAY_ANNOUNCEMENTS = ("--stray-announcements", "4", "--length-s", "10")
# Workers crash while orders are on their way, beside troubles of their agents.
LATE_ORDERS = ("--troubles", "5", "--isolations", "1", "--group-cuts", "1", "--agent-series", "1", "--stray-announcements", "3",
               "--late-orders", "2", "--two-step-share", "0.3", "--asked-share", "0.5", "--kept-share", "0.5", "--length-s",
               "10")
# Clients leave a try without an answer and cancel the job at another entry.
WITHDRAWALS = ("--troubles", "6", "--isolations", "2", "--group-cuts", "1", "--length-s", "10", "--kept-share", "0.5",
               "--withdrawn-share", "0.5")
# Owners pass their ranges of run numbers.
FEW_RUN_NUMBERS = ("--troubles", "6", "--isolations", "2", "--group-cuts", "1", "--zone-cuts", "1", "--kept-share", "0.6",
                   "--two-step-share", "0.3", "--length-s", "10", "--runs-per-epoch", "2")
# Seeds that have broken a promise, with their options; each names the cause that was mended.
REGRESSIONS = (
    ((7, 10, 15, 24), ("--site", "himal"), "a restarted worker had started runs that its agent took for lost"),
    ((1017,), ("--site", "qalhat", "--troubles", "14"), "a planned stop beside a handover ended the process"),
    ((1041,), ("--site", "qalhat", "--troubles", "14"), "the next owner did not know that a task had been ordered again"),
    ((1044,), ("--site", "qalhat", "--troubles", "14"), "lists of a former life of a worker hid those of the next one"),
    ((1132,), ("--site", "qalhat", "--troubles", "14"), "a job that had taken over a run was refused"),
    ((1168, 1214), ("--site", "qalhat", "--troubles", "14"), "workers were not used again after a forced lapse"),
    ((60039,), ("--troubles", "16", "--kept-share", "0.3"), "a task went back to the worker on which it stood still"),
    ((2152,), ("--troubles", "14", "--kept-share", "0.5"), "a failed end hid a later run from the next owner"),
    ((700076,), ("--site", "qalhat", *ISOLATIONS), "the next owner did not dispute the end of a superseded run"),
    ((440038,), ("--site", "qalhat", "--kept-share", "0", "--deadline-ms", "1500", "--resubmissions", "4",
                 "--agent-series", "3"), "a new owner took the runs of short jobs for ended"),
    ((4, 5), ("--site", "himal", *STRAY_ANNOUNCEMENTS), "an agent took another worker's announcement for a new life"),
    ((4,), ("--site", "qalhat", *STRAY_ANNOUNCEMENTS), "the same"),
    ((3, 4), ("--site", "himal", "--troubles", "0", "--late-orders", "6", "--length-s", "8"),
     "a late order was carried out by the next life of its worker"),
    ((610002,), ("--site", "qalhat", "--kept-share", "0.5", "--agent-series", "3", "--group-cuts", "2", "--length-s", "10"),
     "the stop of a stalled run was lost with its agent's process"),
    ((800033,), ("--site", "himal", *LATE_ORDERS), "late orders were carried out while their agent was paused"),
    ((800033,), ("--site", "qalhat", *LATE_ORDERS), "the same"),
    ((970039,), ("--site", "himal", *WITHDRAWALS), "the cancel of an ended best-effort job was not stored"),
)
# Seeds that show a fault which is not mended yet; they are named and not played. KNOWN-RED.txt has what was seen.
KNOWN_RED = (("himal", 910051), ("qalhat", 800042))
MORE_DAYS = (
    ("--site", "himal", "--days", "8", "--first-seed", "100", "--troubles", "12"),
    ("--site", "qalhat", "--days", "8", "--first-seed", "200", "--troubles", "12", "--kept-share", "0.7"),
    ("--site", "himal", "--days", "8", "--first-seed", "300", *ISOLATIONS),
    ("--site", "qalhat", "--days", "8", "--first-seed", "400", "--troubles", "6", *STRAY_ANNOUNCEMENTS),
    ("--site", "himal", "--days", "8", "--first-seed", "500", *WITHDRAWALS),
    ("--site", "qalhat", "--days", "8", "--first-seed", "600", *FEW_RUN_NUMBERS),
)


def emulate(*arguments):
    command = [str(Path(BUILD) / "turmericwell"), "emulate", *arguments]
    return subprocess.run(command, capture_output=True, text=True, timeout=120)


class EmulationTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        for site, seed in KNOWN_RED:
            print(f"known red, not played: emulated day {seed} of {site}, see KNOWN-RED.txt", flush=True)

    # Guards against the faults that these days have shown; later changes of the decisions change the days.
    def test_days_that_found_a_fault(self):
        for seeds, options, cause in REGRESSIONS:
            for seed in seeds:
                with self.subTest(seed=seed, cause=cause):
                    result = emulate(*options, "--first-seed", str(seed))
                    self.assertEqual(result.returncode, 0, result.stdout + result.stderr)

    # Guards against promises that only a combination of faults breaks.
    def test_more_days(self):
        for options in MORE_DAYS:
            with self.subTest(options=options):
                result = emulate(*options, "--threads", "2")
                self.assertEqual(result.returncode, 0, result.stdout + result.stderr)

    # Guards against options that are taken without effect.
    def test_bad_options_are_named(self):
        for options in (("--site", "elsewhere"), ("--order", "none"), ("--placement", "none"), ("--log", "--days", "2")):
            with self.subTest(options=options):
                result = emulate(*options)
                self.assertEqual(result.returncode, 2)
                self.assertIn(options[0], result.stderr)


if __name__ == "__main__":
    unittest.main()
