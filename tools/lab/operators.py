"""Operators of the lab: they apply changed declarations and record what was accepted."""

import json
import re
import shutil
import threading
import time
from concurrent.futures import ThreadPoolExecutor

from lab.recorder import now_ms

ACCEPTED = re.compile(r"^(?:the change was accepted as )?version (\d+)(?: is in force|;)", re.MULTILINE)
UNCHANGED = re.compile(r"^version (\d+) already has these declarations", re.MULTILINE)


class Operators:
    """All changes go through one object, so that no change is made from an outdated copy of the declarations."""

    def __init__(self, cluster, recorder):
        self.cluster = cluster
        self.recorder = recorder
        self.withdrawn = set()
        self.weight = 1
        self._lock = threading.Lock()

    def declarations(self, name, weight):
        """Directory with the example's declarations and the present state of the zones and teams."""
        directory = self.cluster.directory / "declarations" / name
        shutil.rmtree(directory, ignore_errors=True)
        shutil.copytree(self.cluster.example, directory, ignore=shutil.ignore_patterns("deployment"))
        zones = json.loads((directory / "zones.json").read_text())
        for zone in zones["zones"]:
            if zone["name"] in self.withdrawn:
                zone["state"] = "withdrawn"
        (directory / "zones.json").write_text(json.dumps(zones))
        teams = json.loads((directory / "teams.json").read_text())
        teams["teams"][0]["weight"] = weight
        (directory / "teams.json").write_text(json.dumps(teams))
        return directory

    def apply(self, author, weight=None):
        """Applies once; returns the version that holds the declarations or None, and records what was accepted."""
        result = self.cluster.apply(self.declarations(author, weight or self.weight), author)
        found = ACCEPTED.search(result.stdout)
        if result.returncode == 0 and found:
            self.recorder.write("accepted", version=int(found.group(1)), author=author, atMs=now_ms())
            return int(found.group(1))
        # An earlier attempt, whose outcome was not known, may have been accepted.
        unchanged = UNCHANGED.search(result.stdout)
        if result.returncode == 0 and unchanged:
            return int(unchanged.group(1))
        self.recorder.write("refused", author=author, atMs=now_ms(), exitCode=result.returncode,
                            error=result.stderr.strip())
        return None

    def set_zone(self, zone, state, tries=20):
        """Repeats the change until it is accepted."""
        with self._lock:
            began = now_ms()
            (self.withdrawn.add if state == "withdrawn" else self.withdrawn.discard)(zone)
            for _ in range(tries):
                if self.apply("zone-operator") is not None:
                    self.recorder.write("zone", zone=zone, state=state, beganMs=began, atMs=now_ms())
                    return True
                time.sleep(0.3)
        return False

    def race(self):
        """Two operators change a weight at the same time. Returns how many changes were accepted."""
        with self._lock:
            def change(number):
                return self.apply(f"operator-{number}", self.weight + number)
            with ThreadPoolExecutor(2) as pool:
                accepted = [version for version in pool.map(change, (1, 2)) if version is not None]
            self.weight += 3
            return len(accepted)
