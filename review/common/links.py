"""TCP links with the one-way delay between two zones, which can be cut: then nothing passes in either direction."""

import socket
import threading
import time

CHUNK = 65536


class Link:
    """Listens on `listen` and forwards to `target`.

    A cut concerns all connections if `always` is set; otherwise only those whose dialler sends one of `names` in its
    first bytes, as the project's processes do when they introduce themselves. `delays` gives the one-way delay in
    seconds by the dialler's name.
    """

    def __init__(self, listen, target, names=(), always=False, delays=None):
        self._delays = {name.encode(): delay for name, delay in (delays or {}).items()}
        self._names = {name.encode() for name in names}
        self._always = always
        self._target = self._split(target)
        self._closed = False
        self._whole = threading.Event()
        self._whole.set()
        self._sockets = []
        self._listener = socket.create_server(self._split(listen), backlog=128)
        threading.Thread(target=self._accept, daemon=True).start()

    @staticmethod
    def _split(address):
        host, port = address.rsplit(":", 1)
        return host, int(port)

    def cut(self):
        self._whole.clear()

    def mend(self):
        self._whole.set()

    def close(self):
        self._closed = True
        self._whole.set()
        for each in [self._listener, *self._sockets]:
            try:
                each.close()
            except OSError:
                pass

    def _accept(self):
        while not self._closed:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            self._sockets.append(near)
            threading.Thread(target=self._serve, args=(near,), daemon=True).start()

    def _serve(self, near):
        # The dialler speaks first, so its first bytes tell who it is before anything passes to it.
        near.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            first = near.recv(CHUNK)
        except OSError:
            first = b""
        can_be_cut = self._always or any(name in first for name in self._names)
        delay = next((delay for name, delay in self._delays.items() if name in first), 0)
        # A connection that is opened during a cut stays without an answer. If the dialler gives it up before the link
        # is mended, nothing of it has passed.
        if can_be_cut and not self._whole.is_set():
            self._whole.wait()
            if self._is_given_up(near):
                near.close()
                return
        try:
            far = socket.create_connection(self._target, timeout=2)
            far.settimeout(None)
            far.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            far.sendall(first)
        except OSError:
            near.close()
            return
        self._sockets.append(far)
        threading.Thread(target=self._copy, args=(far, near, can_be_cut, delay), daemon=True).start()
        self._copy(near, far, can_be_cut, delay)

    @staticmethod
    def _is_given_up(near):
        near.setblocking(False)
        try:
            return near.recv(1, socket.MSG_PEEK) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True
        finally:
            near.setblocking(True)

    def _copy(self, source, sink, can_be_cut, delay):
        try:
            while data := source.recv(CHUNK):
                if can_be_cut:
                    self._whole.wait()
                if delay:
                    time.sleep(delay)
                sink.sendall(data)
        except OSError:
            pass
        # An end of the connection does not pass a cut either.
        if can_be_cut:
            self._whole.wait()
        for each in (source, sink):
            try:
                each.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            each.close()
