"""A small HTTP/1.1 server with kept connections, for stand-ins of the platform."""

import json
import socket
import sys
import threading
from dataclasses import dataclass
from http import HTTPStatus
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qsl, urlsplit


class NoAnswer(Exception):
    """Raised by a handler to leave the caller without an answer."""


@dataclass(frozen=True)
class Repeated:
    """An answer that is sent a second time on its connection, this long after the first."""

    reply: object
    after_s: float


class Server(ThreadingHTTPServer):
    daemon_threads = True

    def handle_error(self, request, client_address):
        # Callers that die or give up are part of the tests.
        if not isinstance(sys.exc_info()[1], ConnectionError):
            super().handle_error(request, client_address)

    request_queue_size = 128


class HttpStandin:
    """Calls handle(method, path, query, headers, body) and sends the (status, body) that it returns."""

    def __init__(self, port, handle):
        outer = handle

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def setup(self):
                super().setup()
                # A repeated answer is sent by another thread.
                self.sending = threading.Lock()
                self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

            def log_message(self, *_):
                pass

            def answer(self):
                length = int(self.headers.get("Content-Length", 0))
                body = self.rfile.read(length)
                url = urlsplit(self.path)
                try:
                    status, reply = outer(self.command, url.path, dict(parse_qsl(url.query)), self.headers, body)
                except NoAnswer:
                    self.close_connection = True
                    return
                content = reply.reply if isinstance(reply, Repeated) else reply
                data = content if isinstance(content, bytes) else json.dumps(content).encode()
                head = f"HTTP/1.1 {status} {HTTPStatus(status).phrase}\r\nContent-Length: {len(data)}\r\n\r\n"
                self.send(head.encode() + data)
                if isinstance(reply, Repeated):
                    threading.Timer(reply.after_s, self.send_again, (head.encode() + data,)).start()

            def send(self, message):
                with self.sending:
                    self.wfile.write(message)

            def send_again(self, message):
                try:
                    self.send(message)
                except (OSError, ValueError):
                    # The connection has been closed since.
                    pass

            do_GET = do_POST = do_DELETE = answer

        self._server = Server(("127.0.0.1", port), Handler)
        self._thread = threading.Thread(target=self._server.serve_forever, kwargs={"poll_interval": 0.05}, daemon=True)
        self._thread.start()

    def close(self):
        self._server.shutdown()
        self._server.server_close()
