"""Troubles of a day that meet an agent, its worker, and what either hears of the other."""

import signal
import time

# A machine may be suspended, or a worker be out of reach, for about as long as a killed machine is away.
AWAY_S = (3.2, 3.8)
QUOTA_S, QUOTA_STOPPED_S = 0.1, 0.085


class AgentTroubles:
    """Part of Troubles, which has the choices, processes and links."""

    def _agents(self, choice, share):
        return self._names({"share": share}, choice, "agent")

    # --- heartbeats ---

    def _other_writer(self, group, trouble, choice):
        for name in self._agents(choice, choice.choice((0.1, 0.4))):
            self.day.to_worker(name, "write_as_other", group, trouble["for_s"], choice.choice((0.05, 0.5)))
        time.sleep(trouble["for_s"])

    def _foreign_heartbeats(self, trouble, choice):
        self._other_writer("foreign", trouble, choice)

    def _odd_heartbeats(self, trouble, choice):
        self._other_writer("odd", trouble, choice)

    def _late_heartbeats(self, _trouble, choice):
        """Workers start again under their id or a new one; their agents, some restarted, hear of the former life after that."""
        def meet(name):
            self.day.to_worker(name, "crash")
            time.sleep(choice.choice((0, 0.05, 0.5)))
            self.day.to_worker(name, "start", choice.random() < 0.5)
            time.sleep(choice.uniform(0, 1))
            for _ in range(choice.choice((1, 3))):
                self.day.to_worker(name, "repeat_former", choice.uniform(0, 2))
            if choice.random() < 0.5:
                self._restart(name, signal.SIGKILL, choice.uniform(0.05, 0.3))
        self._together(self._agents(choice, 0.15), meet, choice.uniform(0, 0.5))

    def _notices(self, _trouble, choice):
        """Workers drain, and are ready again in the same life; some deregister in between."""
        for name in self._agents(choice, 0.3):
            self.day.to_worker(name, "notice", choice.uniform(0.05, 2), choice.random() < 0.4)

    # --- machines ---

    def _machine_removed(self, _trouble, choice):
        """A machine leaves for good while its worker goes on for a while; another one takes its place."""
        name = self._agents(choice, 0.01)[0]
        number = choice.choice((signal.SIGKILL, signal.SIGTERM))
        worker_goes_on_s = choice.choice((0, 0.3, choice.uniform(0.5, 4)))
        process = self.day.processes[name]
        with process.lock:
            if process.is_removed:
                return
            process.is_removed = True
            process.stop_with(number, self.day.site.grace_s)
        time.sleep(worker_goes_on_s)
        self.day.to_worker(name, "remove")
        spare = self.day.next_spare() if choice.random() < 0.5 else None
        if spare:
            self._add_machine(spare)
        else:
            time.sleep(max(0, self.day.site.reuse_after_s - worker_goes_on_s) + choice.uniform(0, 1))
            self.day.replace(name)

    def _restart_series(self, _trouble, choice):
        """Agents are killed and start again quickly, again and again, while their workers go on."""
        def meet(name):
            for _ in range(choice.randrange(4, 12)):
                self._restart(name, signal.SIGKILL, choice.uniform(0.05, 0.3))
                time.sleep(choice.choice((0.02, choice.uniform(0.05, 0.6))))
        self._together(self._agents(choice, 0.2), meet)

    def _worker_unreachable(self, _trouble, choice):
        how, length_s = choice.choice(("refuse", "reset", "silent", "mute")), choice.uniform(*AWAY_S)
        for name in self._agents(choice, 0.15):
            self.day.to_worker(name, "unreachable", how, length_s)
        time.sleep(length_s)

    def _reset_then_kill(self, _trouble, choice):
        """The calls to the worker fail up to 0.1 s before its agent is killed; both are back after the same time."""
        how, length_s = choice.choice(("refuse", "reset", "silent", "mute")), choice.uniform(*AWAY_S)
        names, gap_s = self._agents(choice, 0.15), choice.uniform(0, 0.1)
        for name in names:
            self.day.to_worker(name, "unreachable", how, length_s)
        time.sleep(gap_s)
        self._together(names, lambda name: self._restart(name, signal.SIGKILL, length_s - gap_s))

    def _worker_cut(self, _trouble, choice):
        """Workers are partitioned from their agents; some crash behind the cut and start again."""
        length_s, is_reborn = choice.choice((0.8, 2, choice.uniform(*AWAY_S))), choice.random() < 0.5
        for name in self._agents(choice, 0.2):
            self.day.to_worker(name, "cut", length_s, is_reborn)
        time.sleep(length_s)

    def _quota(self, trouble, choice):
        """The processor's share is used up at once in each tenth of a second."""
        def meet(name):
            process, end = self.day.processes[name], time.monotonic() + trouble["for_s"]
            with process.lock:
                while time.monotonic() < end:
                    time.sleep(QUOTA_S - QUOTA_STOPPED_S)
                    process.signal(signal.SIGSTOP)
                    time.sleep(QUOTA_STOPPED_S)
                    process.signal(signal.SIGCONT)
        self._together(self._agents(choice, 0.3), meet)

    def _suspend(self, _trouble, choice):
        """Agents stand still while their workers answer, start again, drain or leave."""
        def meet(name):
            length_s, meanwhile = choice.choice((0.7, 1.5, choice.uniform(*AWAY_S))), choice.randrange(4)
            if meanwhile == 1:
                self.day.to_worker(name, "crash")
                self.day.to_worker(name, "start", choice.random() < 0.5)
            elif meanwhile == 2:
                self.day.to_worker(name, "notice", length_s / 2, True)
            elif meanwhile == 3:
                self.day.to_worker(name, "reset_connections")
            self._pause(name, length_s)
        self._together(self._agents(choice, 0.2), meet, choice.choice((0, 0.3)))

    def _hup(self, trouble, choice):
        """Settings files are written anew; most processes get SIGHUP, now and then twice."""
        for name in self._names({"share": trouble.get("share", 0.3)}, choice):
            self.day.rewrite_settings(name)
            for _ in range(choice.choice((0, 1, 1, 2))):
                self.day.processes[name].signal(signal.SIGHUP)
            time.sleep(trouble.get("gap_s", 1) * choice.uniform(0, 0.3))
