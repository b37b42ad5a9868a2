"""Parts that the benchmarks share."""

import http.client
import json
import os
import subprocess
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from lab.cluster import Cluster  # noqa: E402


class BenchCluster(Cluster):
    """A cluster whose targets write no record files, which would cost them more than their tasks."""

    def spawn(self, name, arguments):
        arguments = list(arguments)
        if "--record-file" in arguments:
            at = arguments.index("--record-file")
            del arguments[at:at + 2]
        if arguments[1] in ("entry", "agent"):
            arguments += ["--log-level", "warning"]
        return super().spawn(name, arguments)

    def wait_ready(self):
        super().wait_ready()
        # Agents refuse starts until a ping, sent each second, has told them that an entry is current.
        time.sleep(2)

    def slots(self):
        return len(self.worker_specs) * self.deployment["slots"]

    def metrics(self, entry):
        """The counters of one entry by name."""
        connection = http.client.HTTPConnection("127.0.0.1", self.port(entry), timeout=10)
        try:
            connection.request("GET", "/metrics")
            lines = connection.getresponse().read().decode().split("\n")
        finally:
            connection.close()
        pairs = [line.split(" ") for line in lines if line.startswith("turmericwell_") and "{" not in line]
        return {name.removeprefix("turmericwell_"): float(value) for name, value in pairs}

    def total(self, metric):
        return sum(self.metrics(spec["name"])[metric] for spec in self.entry_specs)

    def cpu_seconds(self, prefix):
        """Processor time that the processes with this prefix have used."""
        total = 0
        for name, process in self.processes.items():
            if name.startswith(prefix):
                fields = Path(f"/proc/{process.popen.pid}/stat").read_text().rsplit(")", 1)[1].split()
                total += int(fields[11]) + int(fields[12])
        return total / os.sysconf("SC_CLK_TCK")

    def bench(self, entries, *arguments, timeout=300):
        """Runs turmericwell bench against the entries and returns its report."""
        command = [str(self.binary()), "bench", "--service", self.deployment["service"], "--call", "check_deposit"]
        for entry in entries:
            command += ["--entry", self.address(entry)]
        done = subprocess.run(command + [str(a) for a in arguments], capture_output=True, text=True, timeout=timeout,
                              check=False)
        if done.returncode != 0:
            raise RuntimeError(f"turmericwell bench failed: {done.stderr}")
        return json.loads(done.stdout.strip().split("\n")[-1])
