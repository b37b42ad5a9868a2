"""Runs the tests of a script. A failure that KNOWN-RED.txt describes is printed and does not fail the run.

An entry names the script, the test and, in a line "failure:", a text of the failure. Any other failure of the test counts.
"""

import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
ENTRY = "- check: tests/process/"
FAILURE = "  failure: "


def listed_failures(script):
    """The texts of the known failures of the script's tests, by CLASS.TEST."""
    listed, test = {}, None
    for line in (ROOT / "KNOWN-RED.txt").read_text().splitlines():
        if line.startswith("- "):
            words = line[len(ENTRY):].split() if line.startswith(ENTRY) else []
            test = words[1] if len(words) == 2 and words[0] == script else None
        elif test and line.startswith(FAILURE):
            listed[test] = line[len(FAILURE):]
    return listed


def main():
    result = unittest.main(exit=False).result
    listed = listed_failures(Path(sys.argv[0]).name)
    others = len(result.unexpectedSuccesses)
    for test, trace in [*result.failures, *result.errors]:
        name = test.id().partition(".")[2]
        if name in listed and listed[name] in trace:
            print(f"known red, does not count: {name}", file=sys.stderr)
        else:
            others += 1
    sys.exit(others > 0)
