"""Tests the subcommand explain against real entries: it names the owner and tells the outcome without submitting the job."""

import json
import subprocess
import sys
import tempfile
import unittest
import urllib.request
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tools"))

from lab.cluster import http_call  # noqa: E402
from lab.fleet import HOST, PREFIX, Fleet  # noqa: E402

BUILD = sys.argv.pop(1) if len(sys.argv) > 1 else "build"
EXIT_DONE, EXIT_FAILURE, EXIT_USAGE, EXIT_REJECTED, EXIT_OTHER_OWNER = 0, 1, 2, 6, 7
STEP = {"count": 2, "cpu": 1000, "memMb": 64, "estimateMs": 500}


class ExplainTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet(BUILD)
        self.addCleanup(self.fleet.stop)
        self.fleet.start()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = Path(folder.name) / "job.json"

    def explain(self, entry, content, *options):
        self.file.write_text(content)
        command = [str(Path(BUILD) / "turmericwell"), "explain", "--entry", self.fleet.metrics_address(entry), "--job", str(self.file)]
        return subprocess.run([*command, *options], capture_output=True, text=True, timeout=20)

    def explain_job(self, job, step, *options):
        """Asks both entries; returns the owner's result and the other one's."""
        content = json.dumps({"host": HOST, "path": PREFIX + job, "job": {"spec": "s", "bestEffort": True, "steps": [step]}})
        results = [self.explain(entry, content, *options) for entry in range(2)]
        results.sort(key=lambda result: result.returncode == EXIT_OTHER_OWNER)
        self.assertEqual(results[1].returncode, EXIT_OTHER_OWNER, results)
        return results

    # Guards against an explanation that submits the job, or that hides who owns it.
    def test_outcome_and_owner(self):
        job = "00000000000000e1"
        own, other = self.explain_job(job, STEP, "--json")
        self.assertEqual(own.returncode, EXIT_DONE, own)
        answer = json.loads(own.stdout)
        self.assertTrue(answer["admission"]["admitted"])
        self.assertEqual(answer["steps"][0]["choice"], "near")
        self.assertEqual(len(answer["steps"][0]["workers"]), 3)
        named = json.loads(other.stdout)
        self.assertFalse(named["isOwner"])
        self.assertEqual((named["owner"], named["ownerAddress"]), (answer["owner"], answer["ownerAddress"]))
        self.assertEqual(self.fleet.state(job)[0], 410)
        text, _ = self.explain_job(job, STEP)
        self.assertIn("admitted", text.stdout)
        self.assertIn("near the data", text.stdout)

    # Guards against an answer or exit code that does not tell why the job would be rejected.
    def test_rejection(self):
        own, _ = self.explain_job("00000000000000e2", {**STEP, "cpu": 1000000})
        self.assertEqual(own.returncode, EXIT_REJECTED, own)
        self.assertIn("no worker can hold a task of this size", own.stdout)
        self.assertIn("excluded: 3 workers: the worker is too small", own.stdout)

    # Guards against wrong input that is answered like a job, and against metrics that are no longer served.
    def test_wrong_input(self):
        for content, code in (("{", EXIT_USAGE), ("[]", EXIT_USAGE), ("{}", EXIT_FAILURE),
                              (json.dumps({"host": HOST, "path": PREFIX, "job": {}}), EXIT_FAILURE),
                              (json.dumps({"host": "other", "path": PREFIX + "e1", "job": {}}), EXIT_FAILURE)):
            self.assertEqual(self.explain(0, content).returncode, code, content)
        address = self.fleet.metrics_address(0)
        self.assertEqual(http_call(int(address.split(":")[1]), "GET", "/v1/explain")[0], 405)
        with urllib.request.urlopen(f"http://{address}/metrics", timeout=10) as response:
            self.assertIn("turmericwell_partitions_owned", response.read().decode())


if __name__ == "__main__":
    unittest.main(verbosity=2)
