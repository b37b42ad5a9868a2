"""A short seeded part of the randomized soak, and the seeds that have found a fault."""

import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tools"))

from lab.soak import Soak  # noqa: E402

BUILD = sys.argv.pop(1) if len(sys.argv) > 1 else "build"

# Seeds that have failed, each with its cause.
REGRESSIONS = {
    # Also: a restarted entry used the epoch of its former process, and accepted jobs were not stored.
    1: "an agent that was paused for longer than the lease reported runs as lost that its worker had finished",
    3201: "a disputed end was confirmed by the next owner, which did not know that its task had been ordered again",
    201: "an end that an agent listed again was confirmed before it was stored",
    4013: "an agent that had registered again was not waited for, and a former owner's pongs kept its runs",
    2004: "a connection that ended before its first ping made the owner take the agent for gone at once",
}
CI_SEEDS = (101, 102)
# Logs of the runs that broke a promise.
KEPT_LOGS = Path(BUILD) / "soak-logs"
# Seeds that show a fault which is not mended yet; they are named and not played. KNOWN-RED.txt has what was seen.
KNOWN_RED = ()


class SoakTest(unittest.TestCase):
    # Guards against promises that only a combination of faults breaks.
    def test_no_promise_is_broken(self):
        for seed in KNOWN_RED:
            print(f"seed {seed} is not played: it is listed in KNOWN-RED.txt")
        for seed in (*REGRESSIONS, *CI_SEEDS):
            if seed in KNOWN_RED:
                continue
            with self.subTest(seed=seed):
                soak = Soak(BUILD, seed)
                problems = soak.run()
                print(soak.summary())
                if problems:
                    soak.keep_logs(KEPT_LOGS / str(seed))
                    print(f"logs of seed {seed} are kept in {KEPT_LOGS / str(seed)}")
                self.assertEqual(problems, [])


if __name__ == "__main__":
    unittest.main()
