"""A test server on a real socket that responds with the given bytes."""

import contextlib
import re
import socket
import threading


class ScriptedServer:
    """Sends the given answers one by one, each in response to one request.

    For an answer of None, the server sends nothing and keeps the connection
    open until the server is shut down. It closes the connection after an empty
    answer, and with ``closing`` after each answer. With ``names_calls``, each
    answer names the call of its request, if that has a name.
    """

    def __init__(self, answers, closing, names_calls):
        self.answers = list(answers)
        self.closing = closing
        self.names_calls = names_calls
        self.requests = []
        self.connections = 0
        self.stopped = threading.Event()
        self.listener = socket.create_server(('127.0.0.1', 0))
        self.port = self.listener.getsockname()[1]
        self.threads = []

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            if self.stopped.is_set():
                connection.close()
                return
            self.connections += 1
            thread = threading.Thread(target=self.serve, args=(connection,))
            self.threads.append(thread)
            thread.start()

    def serve(self, connection):
        with connection, connection.makefile('rb') as reader:
            while self.answers:
                request = _read_request(reader)
                if not request:
                    return
                self.requests.append(request)
                answer = self.answers.pop(0)
                if answer is None:
                    self.stopped.wait()
                    return
                if self.names_calls:
                    answer = _name_call(answer, request)
                connection.sendall(answer)
                if self.closing or not answer:
                    return
            reader.read(1)

    def close(self):
        self.stopped.set()
        with contextlib.suppress(OSError):
            socket.create_connection(('127.0.0.1', self.port)).close()
        for thread in self.threads:
            thread.join()
        self.listener.close()


def _name_call(answer, request):
    """Repeat the call id of a request in the final head of its answer."""
    call_id = re.search(rb'\r\n(Ebonycleat-Call-Id: [^\r]*\r\n)', request)
    status_line = re.match(rb'HTTP/1.1 [2-5][^\r]*\r\n', answer)
    if call_id is None or status_line is None:
        return answer
    end = status_line.end()
    return answer[:end] + call_id.group(1) + answer[end:]


def _read_request(reader):
    lines = []
    body_length = 0
    for line in reader:
        lines.append(line)
        if line.lower().startswith(b'content-length:'):
            body_length = int(line.split(b':')[1])
        if line == b'\r\n':
            return b''.join(lines) + reader.read(body_length)
    return b''


@contextlib.contextmanager
def run_scripted_server(*answers, closing=False, names_calls=True):
    """Run a scripted server on a free port until the block ends."""
    server = ScriptedServer(answers, closing, names_calls)
    thread = threading.Thread(target=server.accept)
    thread.start()
    try:
        yield server
    finally:
        server.close()
    thread.join()


def find_free_port():
    """Return the number of a port on which nothing listens."""
    with socket.create_server(('127.0.0.1', 0)) as listener:
        return listener.getsockname()[1]
