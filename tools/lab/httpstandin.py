"""A small HTTP/1.1 server with kept connections, for stand-ins of the platform."""

import json
import socket
import sys
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qsl, urlsplit


class NoAnswer(Exception):
    """Raised by a handler to leave the caller without an answer."""


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
                data = reply if isinstance(reply, bytes) else json.dumps(reply).encode()
                self.send_response(status)
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            do_GET = do_POST = do_DELETE = answer

        self._server = Server(("127.0.0.1", port), Handler)
        self._thread = threading.Thread(target=self._server.serve_forever, kwargs={"poll_interval": 0.05}, daemon=True)
        self._thread.start()

    def close(self):
        self._server.shutdown()
        self._server.server_close()
