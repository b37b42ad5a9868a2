"""The quickstart session: guards against a build whose whole request path does not work."""

import subprocess
import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
BUILD = sys.argv.pop(1) if len(sys.argv) > 1 else "build"


class Quickstart(unittest.TestCase):
    def test_session(self):
        result = subprocess.run([sys.executable, str(ROOT / "tools/lab/quickstart.py"), BUILD], capture_output=True,
                                text=True, timeout=120, check=False)
        self.assertEqual(result.returncode, 0, result.stdout + result.stderr)
        self.assertIn("answers in order: True", result.stdout)
        self.assertIn("stopped gracefully: True", result.stdout)


if __name__ == "__main__":
    unittest.main()
