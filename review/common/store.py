"""The project's stand-in for the store, with outages during which the times of group members stand still.

PROTOCOL.md: "While the store is down, these times pause or expire."
"""

import time

from lab.storestandin import StoreStandin


class Store(StoreStandin):
    def go_down(self):
        """From now on each call is answered with 503 and does nothing."""
        self._down_since = time.monotonic()
        self.fault = lambda path, door: "refuse"

    def come_back(self):
        paused = time.monotonic() - self._down_since
        with self._lock:
            for group in self._groups.values():
                group.members = {name: (seen + paused, ttl, generation)
                                 for name, (seen, ttl, generation) in group.members.items()}
            self.fault = lambda path, door: ""
