"""Operator commands with real processes: races, lost answers, expired records, outages."""

import json
import shutil
import sys
import tempfile
import threading
import time
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tools"))
from lab.cluster import Cluster, http_call, wait_until  # noqa: E402

BUILD = sys.argv.pop(1) if len(sys.argv) > 1 else "build"
EXIT_DONE, EXIT_FAILURE, EXIT_USAGE, EXIT_INVALID, EXIT_CONFLICT, EXIT_UNKNOWN = range(6)


def apply_json(cluster, directory, *arguments):
    result = cluster.run("apply", directory, "--log", cluster.address("log"), "--format", "json", *arguments)
    return result.returncode, json.loads(result.stdout)


def show_json(cluster, *entries):
    arguments = [part for name in entries for part in ("--entry", cluster.address(name))]
    result = cluster.run("show", *arguments, "--format", "json")
    return result.returncode, json.loads(result.stdout)


def versions(shown):
    return {item["name"]: item.get("version") for item in shown["instances"]}


class ConfigTest(unittest.TestCase):
    def setUp(self):
        self.directory = Path(tempfile.mkdtemp(prefix="turmericwell-config-"))
        self.addCleanup(shutil.rmtree, self.directory)

    def declarations(self, name, withdrawn=(), teams=()):
        """A copy of the Himal declarations with some zones withdrawn and more teams."""
        target = self.directory / name
        target.mkdir(exist_ok=True)
        for path in (ROOT / "examples/himal").glob("*.json"):
            content = json.loads(path.read_text())
            for zone in content.get("zones", []):
                if zone["name"] in withdrawn:
                    zone["state"] = "withdrawn"
            if "teams" in content:
                content["teams"] += [{"name": team} for team in teams]
            (target / path.name).write_text(json.dumps(content))
        return target

    def log_only(self, *log_arguments):
        cluster = Cluster(BUILD, entries=0, workers=0, log_arguments=log_arguments)
        self.addCleanup(cluster.kill_all)
        cluster.start_log()
        wait_until(lambda: cluster.control_log()[0] == 200, 20, "the log")
        return cluster

    def test_race_of_two_operators(self):
        """Guards against G9: of two changes on one version, both are reported as applied, or one is lost."""
        cluster = self.log_only()
        self.assertEqual(cluster.apply().returncode, EXIT_DONE)
        cluster.control_log(delayMs=300)
        results = {}

        def race(author):
            results[author] = apply_json(cluster, self.declarations(author, teams=[author]), "--author", author)

        threads = [threading.Thread(target=race, args=(author,)) for author in ("alice", "bob")]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        codes = sorted(code for code, _ in results.values())
        self.assertEqual(codes, [EXIT_DONE, EXIT_CONFLICT], results)
        loser = next(report for code, report in results.values() if code == EXIT_CONFLICT)
        winner = next(author for author, (code, _) in results.items() if code == EXIT_DONE)
        self.assertEqual([change["author"] for change in loser["first"]], [winner])
        self.assertIn(f"{winner} made version 2 first", loser["text"])
        self.assertIn(f"+ team {winner}", loser["text"])
        self.assertIn("nothing was applied", loser["text"])

    def test_lost_answer_is_resolved_and_repeat_is_safe(self):
        """Guards against a second change, or a false failure, when the answer to the append is lost."""
        cluster = self.log_only()
        cluster.apply()
        changed = self.declarations("changed", withdrawn=["patan"])
        cluster.control_log(loseAnswers=1)
        code, report = apply_json(cluster, changed)
        self.assertEqual((code, report["outcome"], report["version"]), (EXIT_DONE, "applied", 2), report)
        self.assertEqual(report["changes"], ['~ zone patan: state "in_service" -> "withdrawn"'])
        code, report = apply_json(cluster, changed)
        self.assertEqual((code, report["outcome"], report["version"]), (EXIT_DONE, "unchanged", 2), report)
        code, report = apply_json(cluster, self.declarations("third", teams=["third"]))
        self.assertEqual((code, report["version"]), (EXIT_DONE, 3))
        code, report = apply_json(cluster, changed, "--base", "1")
        self.assertEqual((code, report["outcome"], report["version"]), (EXIT_DONE, "applied", 3), report)
        code, report = apply_json(cluster, self.declarations("old", teams=["old"]), "--base", "1")
        self.assertEqual((code, report["outcome"]), (EXIT_CONFLICT, "conflict"), report)

    def test_outcome_not_known_while_the_log_is_too_slow(self):
        """Guards against a claim about a change whose append was neither answered nor found."""
        cluster = self.log_only()
        cluster.apply()
        changed = self.declarations("changed", teams=["late"])
        cluster.control_log(delayMs=3_000)
        code, report = apply_json(cluster, changed, "--timeout-ms", 600)
        self.assertEqual((code, report["outcome"]), (EXIT_UNKNOWN, "unknown"), report)
        cluster.control_log(delayMs=5)
        code, report = apply_json(cluster, changed, "--base", report["base"])
        self.assertEqual((code, report["outcome"], report["version"]), (EXIT_DONE, "applied", 2), report)
        # The late append of the first attempt must not count a second time.
        wait_until(lambda: cluster.control_log()[1]["appends"] >= 3, 20, "the late append")
        code, report = apply_json(cluster, changed)
        self.assertEqual((code, report["outcome"], report["version"]), (EXIT_DONE, "unchanged", 2), report)

    def test_log_down_and_bad_input(self):
        """Guards against an operator who does not learn that nothing was applied, and against wrong exit codes."""
        cluster = self.log_only()
        code, report = apply_json(cluster, ROOT / "examples/himal", "--dry-run")
        self.assertEqual((code, report["outcome"], report["version"]), (EXIT_DONE, "dry_run", 0))
        cluster.control_log(failing=True)
        code, report = apply_json(cluster, ROOT / "examples/himal")
        self.assertEqual(code, EXIT_FAILURE)
        self.assertIn("nothing was applied", report["text"])
        broken = self.declarations("broken")
        (broken / "extra.json").write_text('{"teams":[{"name":"kiosks"}],"jobClasses":[{"name":"j","call":"c"}]}')
        result = cluster.run("validate", broken)
        self.assertEqual(result.returncode, EXIT_INVALID)
        self.assertIn('teams.json: teams[0].name: "kiosks" is declared twice, first at extra.json: teams[0]',
                      result.stderr)
        self.assertIn("extra.json: jobClasses[0].service: is required", result.stderr)
        self.assertEqual(cluster.run("validate", self.directory / "none").returncode, EXIT_INVALID)
        self.assertEqual(cluster.run("apply", broken).returncode, EXIT_USAGE)
        for command in ("validate", "apply", "show", "timeline"):
            result = cluster.run(command, "--help")
            self.assertEqual(result.returncode, EXIT_DONE)
            self.assertIn("Exit codes:", result.stdout)

    def test_show_reports_every_instance(self):
        """Guards against a show that hides agents or instances that are behind."""
        with Cluster(BUILD, entries=2, workers=3) as cluster:
            cluster.start()
            self.assertEqual(cluster.apply(self.declarations("next", withdrawn=["thamel"])).returncode, EXIT_DONE)
            names = ["entry-1", "entry-2"] + [f"agent-{spec['name']}" for spec in cluster.worker_specs]
            wait_until(lambda: versions(show_json(cluster, "entry-1")[1]) == dict.fromkeys(names, 2), 20,
                       "version 2 on all instances")
            text = cluster.run("show", "--entry", cluster.address("entry-1")).stdout
            self.assertIn("version 2 is in force, made by operator", text)
            cluster.processes["entry-2"].pause()
            try:
                cluster.apply(self.declarations("last"))
                wait_until(lambda: show_json(cluster, "entry-1")[1]["version"] == 3, 20, "version 3 on entry-1")
                code, shown = show_json(cluster, "entry-1", "entry-2")
                self.assertEqual(code, EXIT_FAILURE)
                self.assertEqual(list(shown["notReached"]), [cluster.address("entry-2")])
                paused = next(item for item in shown["instances"] if item["name"] == "entry-2")
                self.assertEqual(paused["behind"], 1)
                self.assertIn("behind by 1", paused["why"])
            finally:
                cluster.processes["entry-2"].resume()

    def test_timeline_from_the_log_and_metrics(self):
        """Guards against events that are lost with their process, and against metrics without types."""
        with Cluster(BUILD, entries=2, workers=3) as cluster:
            cluster.start()
            status, _ = cluster.request("entry-1", "tl-1", "unlock", {"runMs": 10, "echo": 1})
            self.assertEqual(status, 200)

            def shipped():
                result = cluster.run("timeline", "--log", cluster.address("log"), "--key", "tl-1", "--service",
                                     "kiosk", "--format", "json")
                return [json.loads(line) for line in result.stdout.splitlines()]

            wait_until(lambda: {"task_started", "submission_answered"} <= {item["kind"] for item in shipped()}, 20,
                       "the shipped events")
            from_log = shipped()
            kinds = [item["kind"] for item in from_log]
            self.assertLess(kinds.index("task_sent"), kinds.index("task_started"))
            self.assertLess(kinds.index("task_started"), kinds.index("submission_answered"))
            started = next(item for item in from_log if item["kind"] == "task_started")
            # A refused task is sent again, so the cause is the newest of its sends to the agent that started it.
            sent = [item for item in from_log[:from_log.index(started)]
                    if item["kind"] == "task_sent" and item["target"] == started["process"]][-1]
            self.assertEqual((started["causeProcess"], started["causeSequence"]), (sent["process"], sent["sequence"]))
            names = ["entry-1", "entry-2"] + [f"agent-{spec['name']}" for spec in cluster.worker_specs]
            arguments = [part for name in names for part in ("--process", cluster.address(name))]
            both = cluster.run("timeline", "--log", cluster.address("log"), *arguments, "--key", "tl-1", "--service",
                               "kiosk", "--format", "json")
            # Processes ship their events at different times. Merging must not double those that the log has already.
            merged = [json.loads(line) for line in both.stdout.splitlines()]
            wait_until(lambda: len(shipped()) >= len(merged), 20, "the log to hold all events")
            self.assertEqual(len(merged), len(shipped()))
            text = cluster.run("timeline", *arguments, "--key", "tl-1", "--service", "kiosk").stdout
            self.assertIn("ms after its start", text)
            for name in ("entry-1", names[-1]):
                metrics = self.raw(cluster.port(name), "/metrics")
                self.assertIn("# TYPE turmericwell_events_total counter", metrics)
                self.assertIn("\nturmericwell_metrics_unknown_total 0\n", metrics)
                self.assertIn("# TYPE turmericwell_config_version gauge\nturmericwell_config_version 1\n", metrics)

            # The last events of a process that stops gracefully are in the log, too.
            stopped = [names[-1], "entry-2"]
            for name in stopped:
                self.assertEqual(cluster.processes[name].stop(), 0)

            def stops():
                result = cluster.run("timeline", "--log", cluster.address("log"), "--format", "json")
                events = [json.loads(line) for line in result.stdout.splitlines()]
                return {item["process"] for item in events if item["kind"] == "process_stopping"}

            wait_until(lambda: stops() == set(stopped), 20, "the last events of the stopped processes")

    @staticmethod
    def raw(port, path):
        import http.client
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
        try:
            connection.request("GET", path)
            return connection.getresponse().read().decode()
        finally:
            connection.close()

    def test_expired_records_and_empty_start_during_an_outage(self):
        """Guards against G9: a version that goes back when records expire or an entry starts without the log."""
        settings = {"logRetentionMs": 4_000, "dedupWindowMs": 1_000}
        with Cluster(BUILD, entries=3, workers=3, entry_settings=settings,
                     log_arguments=["--retention-ms", "4000"]) as cluster:
            cluster.start()
            for number in (2, 3):
                code, report = apply_json(cluster, self.declarations("changed", teams=[f"team-{number}"]))
                self.assertEqual((code, report["version"]), (EXIT_DONE, number), report)

            def oldest_offset():
                return http_call(cluster.port("log"), "GET", "/v1/streams/config/records?from=0")[1]["oldest"]

            # All three change records have expired; only snapshots carry the version on.
            wait_until(lambda: oldest_offset() >= 4, 30, "the change records to expire")
            code, report = apply_json(cluster, self.declarations("after", teams=["after"]))
            self.assertEqual((code, report["version"]), (EXIT_DONE, 4), report)

            spec = cluster.entry_specs[2]
            cluster.processes[spec["name"]].kill()
            cluster.start_entry(spec)
            wait_until(lambda: show_json(cluster, spec["name"])[1]["version"] == 4, 20, "a fresh entry")

            wait_until(lambda: all(show_json(cluster, entry["name"])[1]["version"] == 4
                                   for entry in cluster.entry_specs), 20, "version 4 on all entries")
            cluster.control_log(failing=True)
            cluster.processes[spec["name"]].kill()
            cluster.start_entry(spec)
            wait_until(lambda: show_json(cluster, spec["name"])[1]["version"] == 4, 20,
                       "the state of a peer during the outage")
            # The outage lasts longer than the retention, so that every record expires.
            time.sleep(5)
            cluster.control_log(failing=False)
            seen = []

            def applied():
                seen.append(show_json(cluster, spec["name"])[1]["version"])
                code, report = apply_json(cluster, self.declarations("end", teams=["end"]))
                return code == EXIT_DONE and report["version"] == 5

            wait_until(applied, 30, "a change after the outage")
            wait_until(lambda: show_json(cluster, spec["name"])[1]["version"] == 5, 20, "version 5")
            self.assertTrue(all(version >= 4 for version in seen), seen)


if __name__ == "__main__":
    unittest.main()
