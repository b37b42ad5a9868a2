"""Clients that nobody controls, and the bounds that a process must keep to while they are there.

Each test checks that the attacked process stays alive, that its resident memory and its descriptors stay under a bound, and
that it answers one ordinary request afterwards. None checks a time or a share of served requests.
"""

import os
import select
import socket
import time
import unittest
from pathlib import Path

from lab.fleet import HOST, PREFIX, Fleet

# The smallest instance has 120 MB, of which the kernel's socket buffers and the program's pages take some.
MOST_RESIDENT_MB = 100
# The smallest instance has 3,075 descriptors. Some tests give an entry fewer, so that a small crowd uses them up.
FEW_DESCRIPTORS = 200
KILOBYTE, MEGABYTE = 1024, 1024 * 1024


def status_value(pid, key):
    """A number of /proc/PID/status, in kB for sizes."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(key + ":"):
            return int(line.split()[1])
    raise AssertionError(f"{key} is missing")


def descriptors(pid):
    return len(os.listdir(f"/proc/{pid}/fd"))


def wait_until_read(pid):
    """Waits until the process works no more on what was sent, at most 10 s."""
    end = time.monotonic() + 10
    before, quiet = None, 0
    while quiet < 4 and time.monotonic() < end:
        # Ticks of user and system time; the regular work of a process takes less than a fifth of a processor.
        used = sum(int(field) for field in Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[11:13])
        quiet = quiet + 1 if before is not None and used - before < 2 else 0
        before = used
        time.sleep(0.1)


class Crowd:
    """Connections that send without waiting for what the other side thinks of it."""

    def __init__(self, test, port, count):
        self.sockets = []
        for _ in range(count):
            sender = socket.socket()
            sender.setblocking(False)
            test.addCleanup(sender.close)
            sender.connect_ex(("127.0.0.1", port))
            self.sockets.append(sender)

    def send(self, first, repeated, total, patience_s=15):
        """Sends `first`, then `repeated` until `total` bytes are sent, on each connection in turn.

        Ends when all is sent, when all connections are closed by the other side, when nothing could be sent for a second,
        or after `patience_s`. Returns the bytes sent.
        """
        sent = {sender: 0 for sender in self.sockets}
        begin = last_progress = time.monotonic()
        while sent and time.monotonic() < begin + patience_s and time.monotonic() < last_progress + 1:
            _, writable, _ = select.select([], list(sent), [], 0.1)
            for sender in writable:
                done = sent[sender]
                data = first[done:] if done < len(first) else repeated[(done - len(first)) % max(1, len(repeated)):]
                try:
                    count = sender.send(data[:total - done])
                except BlockingIOError:
                    continue
                except OSError:
                    del sent[sender]
                    continue
                last_progress = time.monotonic()
                self.bytes_sent += count
                sent[sender] += count
                if sent[sender] >= total:
                    del sent[sender]
        return self.bytes_sent

    bytes_sent = 0


class UntrustedTestCase(unittest.TestCase):
    # Folder with the programs.
    build = "build"

    def fleet(self, most_descriptors=None, entries=1, **options):
        fleet = Fleet(self.build, entries=entries, agents=1, **options)
        self.addCleanup(fleet.stop)
        fleet.entries[0].most_descriptors = most_descriptors
        fleet.start()
        return fleet

    def assert_bounded(self, fleet, process, most_descriptors=3_075):
        wait_until_read(process.pid())
        self.assertFalse(process.has_ended(), process.log_text()[-2000:])
        peak, resident = (status_value(process.pid(), key) // KILOBYTE for key in ("VmHWM", "VmRSS"))
        opened = descriptors(process.pid())
        print(f"{self.id().rpartition('.')[2]}: {process.name} peak {peak} MB, resident {resident} MB, "
              f"{opened} descriptors")
        self.assertLess(peak, MOST_RESIDENT_MB)
        self.assertLess(opened, most_descriptors)
        self.assert_serves(fleet)

    def assert_serves(self, fleet):
        """One ordinary client submits a job, again after each rejection, as its protocol asks for."""
        end = time.monotonic() + 20
        number, statuses = 0x5EF0000000000000, []
        while time.monotonic() < end:
            number += 1
            status, _ = fleet.submit(f"{number:016x}", tasks=1, best_effort=True, timeout=3)
            if status == 200:
                return
            statuses.append(status)
            time.sleep(0.2)
        raise AssertionError(f"no ordinary request is served: {statuses}")
