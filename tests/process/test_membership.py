"""Entries that die, pause, stop and start, with real processes."""

import sys
import threading
import unittest
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "tools"))
import knownred  # noqa: E402
from lab.cluster import Cluster, http_call, wait_until  # noqa: E402

BUILD = sys.argv.pop(1) if len(sys.argv) > 1 else "build"


class Callers:
    """Requests that run at the same time, one thread each."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.answers = {}
        self.threads = []

    def send(self, entry, key, run_ms, call="unlock"):
        def run():
            try:
                self.answers[key] = self.cluster.request(entry, key, call, {"runMs": run_ms, "echo": key},
                                                         deadlineMs=30000)
            except OSError as error:
                self.answers[key] = (0, {"outcome": "no answer", "reason": str(error)})

        self.threads.append(threading.Thread(target=run))
        self.threads[-1].start()

    def wait(self):
        for thread in self.threads:
            thread.join(60)
        return self.answers


def shown(cluster, entry):
    return http_call(cluster.port(entry), "GET", "/v1/show")[1]


def names(cluster, entry):
    return [member["entry"] for member in shown(cluster, entry)["entries"]]


class Membership(unittest.TestCase):
    def assert_started_once(self, cluster):
        starts = Counter(record["task"] for record in cluster.target_records() if record["what"] == "start")
        self.assertEqual([task for task, count in starts.items() if count > 1], [])

    def assert_complete(self, answers):
        self.assertEqual({key: answer for key, answer in answers.items() if answer[1].get("outcome") != "complete"},
                         {})

    def wait_running(self, cluster, count, callers):
        try:
            wait_until(lambda: sum(record["what"] == "start" for record in cluster.target_records()) >= count, 20,
                       "the tasks to start")
        except TimeoutError as error:
            raise AssertionError(f"{error}; answers so far: {callers.answers}") from error

    # Guards against a caller that hangs or a task that runs again when the owner of its key dies (G1, G6).
    def test_owner_dies_while_its_tasks_run(self):
        with Cluster(BUILD, entries=3, workers=4) as cluster:
            cluster.start()
            callers = Callers(cluster)
            for index in range(18):
                callers.send("entry-1", f"dies-{index}", 1500)
            self.wait_running(cluster, 18, callers)
            cluster.processes["entry-2"].kill()
            answers = callers.wait()
            self.assert_complete(answers)
            again = Callers(cluster)
            for index in range(18):
                again.send("entry-3", f"dies-{index}", 1500)
            self.assertEqual(again.wait(), answers)
            self.assert_started_once(cluster)
            self.assertEqual(names(cluster, "entry-1"), ["entry-1", "entry-3"])

    # Guards against a resumed entry that serves keys which were taken over in the meantime.
    def test_paused_entry_joins_again_without_state(self):
        with Cluster(BUILD, entries=3, workers=4) as cluster:
            cluster.start()
            before = shown(cluster, "entry-2")["incarnation"]
            callers = Callers(cluster)
            for index in range(12):
                callers.send("entry-1", f"paused-{index}", 1000)
            self.wait_running(cluster, 12, callers)
            cluster.processes["entry-2"].pause()
            wait_until(lambda: "entry-2" not in names(cluster, "entry-1"), 20, "the leave of entry-2")
            self.assert_complete(callers.wait())
            cluster.processes["entry-2"].resume()
            wait_until(lambda: shown(cluster, "entry-2")["incarnation"] > before
                       and "entry-2" in names(cluster, "entry-1"), 20, "entry-2 to join again")
            cluster.wait_ready()
            after = Callers(cluster)
            for index in range(12):
                after.send("entry-2", f"paused-{index}", 1000)
                after.send("entry-3", f"new-{index}", 20)
            self.assert_complete(after.wait())
            self.assert_started_once(cluster)

    # Guards against a planned stop that cuts a request or refuses one that another entry could serve (G8).
    def stop_under_load(self, log_down):
        with Cluster(BUILD, entries=3, workers=4) as cluster:
            cluster.start()
            if log_down:
                cluster.control_log(failing=True)
            callers = Callers(cluster)
            for index in range(12):
                callers.send("entry-2", f"stop-{index}", 2500)
                callers.send("entry-1", f"other-{index}", 2500)
            self.wait_running(cluster, 24, callers)
            cluster.processes["entry-2"].begin_stop()
            for index in range(24):
                callers.send("entry-3", f"during-{index}", 200)
                threading.Event().wait(0.1)
            answers = callers.wait()
            self.assert_complete(answers)
            self.assertEqual(cluster.processes["entry-2"].wait(), 0)
            again = Callers(cluster)
            for key in answers:
                again.send("entry-1", key, 200 if key.startswith("during") else 2500)
            self.assertEqual(again.wait(), answers)
            self.assert_started_once(cluster)

    def test_planned_stop_under_load(self):
        self.stop_under_load(log_down=False)

    def test_planned_stop_during_a_log_outage(self):
        self.stop_under_load(log_down=True)

    # Guards against a stop that claims success although it left a submission behind.
    def test_stop_beyond_its_bound_exits_with_1(self):
        with Cluster(BUILD, entries=1, workers=1, entry_settings={"stopMs": 1500, "drainMs": 100}) as cluster:
            cluster.start()
            callers = Callers(cluster)
            callers.send("entry-1", "long", 6000)
            self.wait_running(cluster, 1, callers)
            self.assertEqual(cluster.processes["entry-1"].stop(), 1)
            callers.wait()

    # Guards against an entry that cannot learn the members because the log is down at its start.
    def test_entry_that_starts_during_a_log_outage_forwards(self):
        with Cluster(BUILD, entries=3, workers=2) as cluster:
            cluster.start()
            members = names(cluster, "entry-1")
            self.assertEqual(cluster.processes["entry-1"].stop(), 0)
            cluster.control_log(failing=True)
            cluster.start_entry(cluster.entry_specs[0])
            wait_until(lambda: names(cluster, "entry-1") == members[1:], 20, "the roster from the peers")
            callers = Callers(cluster)
            for index in range(6):
                callers.send("entry-1", f"outage-{index}", 20)
            self.assert_complete(callers.wait())

    # Guards against a view that depends on where a reader began, once the first records have expired.
    def test_view_is_the_same_after_the_first_records_expired(self):
        settings = {"logRetentionMs": 4000, "dedupWindowMs": 3000}
        with Cluster(BUILD, entries=3, workers=1, entry_settings=settings,
                     log_arguments=["--retention-ms", 4000]) as cluster:
            cluster.start()
            wait_until(lambda: http_call(cluster.port("log"), "GET", "/v1/streams/roster/records?from=0")[0] == 410,
                       30, "the first roster records to expire")
            cluster.processes["entry-3"].stop()
            cluster.start_entry(cluster.entry_specs[2])
            wait_until(lambda: len(names(cluster, "entry-3")) == 3, 20, "entry-3 to join again")
            wait_until(lambda: len({shown(cluster, f"entry-{n}")["view"] for n in (1, 2, 3)}) == 1, 20, "one view")
            self.assertGreaterEqual(shown(cluster, "entry-3")["view"], 5)


if __name__ == "__main__":
    knownred.main()
