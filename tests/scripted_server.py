"""A server on a real socket that answers with exactly the given bytes."""

import contextlib
import socket
import threading


class ScriptedServer:
    """Sends one scripted answer per request; None waits until shut down.

    The connection ends after an empty answer, and with ``closing`` after
    each one.
    """

    def __init__(self, answers, closing):
        self.answers = list(answers)
        self.closing = closing
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
                head = _read_head(reader)
                if not head:
                    return
                self.requests.append(head)
                answer = self.answers.pop(0)
                if answer is None:
                    self.stopped.wait()
                    return
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


def _read_head(reader):
    lines = []
    length = 0
    for line in reader:
        lines.append(line)
        if line.lower().startswith(b'content-length:'):
            length = int(line.split(b':')[1])
        if line == b'\r\n':
            return b''.join(lines) + reader.read(length)
    return b''


@contextlib.contextmanager
def run_scripted_server(*answers, closing=False):
    """Run a scripted server on a free port until the block ends."""
    server = ScriptedServer(answers, closing)
    thread = threading.Thread(target=server.accept)
    thread.start()
    try:
        yield server
    finally:
        server.close()
    thread.join()


def find_free_port():
    """A port on which nothing listens."""
    with socket.create_server(('127.0.0.1', 0)) as listener:
        return listener.getsockname()[1]
