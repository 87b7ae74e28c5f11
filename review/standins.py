"""Stand-ins for the scripts of this review: store, upstreams, clients, nodes.

Only the standard library is used.  They follow PROTOCOL.md: the store answers
/log-newest, /log-read and /log-append; an upstream runs `slots` requests,
echoes X-Request-Id, signs its answers, refuses other instances with 421 and
what it has no room for with 503 and X-Not-Executed, and sends heartbeats; a
client sends one request on a connection and reads the whole answer.
"""

import asyncio
import base64
import json
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
RUN = ['python3', '-m', 'ebonycleat.commands.mesh_node']  # deploy/system.toml
HEARTBEAT_S = 1.5
BOUNDS = {
    'stabilityWindowS': 3, 'drainS': 2, 'graceS': 6, 'lossSlackS': 0.2,
    'propagationS': 2, 'revokeFailClosed': True, 'revokeS': 5,
    'retryBudgetRatio': 0.2, 'budgetWindowS': 10, 'budgetSlack': 48,
}


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, 'w', encoding='utf-8')
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def write(self, text):
        self.file.write(f'{self.now():9.3f} {text}\n')
        self.file.flush()


def host_of(number):
    """A loopback address of its own for each machine of this script."""
    pid = os.getpid()
    return f'127.{pid % 250 + 1}.{pid // 250 % 250}.{number + 1}'


async def read_message(reader):
    """Read one HTTP message; returns first line, headers and body, or None."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, found, text = line.partition(':')
        if found:
            headers.setdefault(name.strip().lower(), text.strip())
    body = b''
    length = int(headers.get('content-length', 0))
    if length:
        body = await reader.readexactly(length)
    return lines[0], headers, body


def encode_answer(status, headers=(), body=b''):
    lines = [f'HTTP/1.1 {status} X']
    lines += [f'{name}: {text}' for name, text in headers]
    lines += [f'Content-Length: {len(body)}', '', '']
    return '\r\n'.join(lines).encode('latin-1') + body


class Store:
    """The platform's metadata store: keyed topics with one partition."""

    def __init__(self):
        self.topics = {}
        self.changed = asyncio.Condition()
        self.mode = 'up'

    async def start(self, host):
        self.server = await asyncio.start_server(self.serve, host, 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f'{host}:{port}'

    async def append(self, topic, key, value):
        records = self.topics.setdefault(topic, [])
        records.append((key.encode() if isinstance(key, str) else key, value))
        async with self.changed:
            self.changed.notify_all()
        return len(records) - 1

    async def write_config(self, config):
        await self.append('keyed.op', 'config', json.dumps(config).encode())

    async def serve(self, reader, writer):
        try:
            while message := await read_message(reader):
                while self.mode == 'silent':
                    await asyncio.sleep(0.05)
                if self.mode == 'busy':
                    writer.write(encode_answer(503))
                else:
                    writer.write(await self.answer(*message))
                await writer.drain()
                if 'close' in message[1].get('connection', ''):
                    break
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def answer(self, line, headers, body):
        method, target, _ = line.split(' ')
        path, _, query_text = target.partition('?')
        query = dict(urllib.parse.parse_qsl(query_text))
        records = self.topics.setdefault(query.get('topic', ''), [])
        await asyncio.sleep(0.004)
        if path == '/log-newest':
            newest = {key: (number, value)
                      for number, (key, value) in enumerate(records)}
            items = [{'key': key.decode(),
                      'value': base64.b64encode(value).decode(),
                      'offset': number}
                     for key, (number, value) in newest.items() if value]
            page = {'items': items, 'more': False, 'end': len(records)}
            return encode_answer(200, (), json.dumps(page).encode())
        if path == '/log-read':
            start = int(query['from'])
            wait_s = int(query.get('waitMs', 0)) / 1000
            if start > len(records):
                return encode_answer(410, (), b'{"first":0}')
            ends = time.monotonic() + wait_s
            while start == len(records) and time.monotonic() < ends:
                try:
                    async with self.changed:
                        await asyncio.wait_for(
                            self.changed.wait(), ends - time.monotonic())
                except TimeoutError:
                    pass
            out = len(records).to_bytes(8, 'big') + (0).to_bytes(8, 'big')
            for key, value in records[start:]:
                entry = bytes((len(key),)) + key + value
                out += len(entry).to_bytes(4, 'big') + entry
            return encode_answer(200, (), out)
        if path == '/log-append':
            key_end = 5 + body[4]
            offset = await self.append(
                query['topic'], body[5:key_end], body[key_end:])
            page = {'offset': offset, 'end': offset + 1}
            return encode_answer(200, (), json.dumps(page).encode())
        return encode_answer(404)


class Upstream:
    """One upstream beside its node; `on_run` is asked before each run.

    `on_run` gets the upstream and the request and returns 'ok' or 'crash'.
    """

    def __init__(self, record, number, service, slots=40, work_s=0.05,
                 body=b'whole answer', on_run=None):
        self.record = record
        self.number = number
        self.service = service
        self.slots = slots
        self.work_s = work_s
        self.body = body
        self.on_run = on_run
        self.host = host_of(number)
        self.port = 0
        self.starts = 0
        self.running = 0
        self.server = None
        self.writers = set()
        self.state = 'ready'
        self.control = ''
        self.beat_task = None

    async def start(self):
        self.starts += 1
        self.instance = f'i-{self.number}-{self.starts}'
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.running = 0
        self.server = await asyncio.start_server(
            self.serve, self.host, self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        if self.control:
            self.begin_beats()

    def begin_beats(self):
        self.beat_task = asyncio.ensure_future(self.beat_until_cancelled())

    def crash(self):
        """End at once: connections are reset and nothing listens any more."""
        self.record.write(f'upstream {self.instance} crashes')
        self.server.close()
        for writer in tuple(self.writers):
            writer.transport.abort()
        if self.beat_task is not None:
            self.beat_task.cancel()

    async def come_back(self, after_s):
        await asyncio.sleep(after_s)
        await self.start()
        self.record.write(f'upstream {self.instance} has started')

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while message := await read_message(reader):
                answer = await self.run(*message)
                if answer is None:
                    return
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def run(self, line, headers, body):
        instance = self.instance
        method, target, _ = line.split(' ')
        request_id = headers.get('x-request-id', '')
        echo = [('X-Request-Id', request_id),
                ('X-Upstream-Load', f'{self.running},0,{self.slots}')]
        if headers.get('x-expected-instance', instance) != instance:
            return encode_answer(
                421, [*echo, ('X-Upstream-Instance', instance)])
        if self.running >= self.slots:
            self.record.write(f'{instance} refuses {request_id}: full')
            return encode_answer(503, [*echo, ('X-Not-Executed', '1')])
        self.record.write(
            f'{instance} runs {request_id} {method} {target} '
            f"deadline {headers.get('x-deadline-ms')}")
        self.running += 1
        try:
            if self.on_run and self.on_run(self, request_id, target) == 'crash':
                await asyncio.sleep(0.02)
                self.crash()
                return None
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        signed = [*echo, ('X-Server-Signature', f'sig-{instance}')]
        return encode_answer(200, signed, self.body)

    async def beat_until_cancelled(self):
        while True:
            await self.say('PUT')
            await asyncio.sleep(HEARTBEAT_S)

    async def say(self, method):
        """One heartbeat or farewell; returns its status, 0 without one."""
        self.seq += 1
        said = {'address': f'{self.host}:{self.port}', 'born': self.born}
        if method == 'PUT':
            said['info'] = {'service': self.service, 'version': 'v1',
                            'zone': f'zone-{self.number}',
                            'slots': self.slots}
            said['status'] = {'state': self.state, 'seq': self.seq,
                              'warmupLeftS': 0}
        try:
            answer = await asyncio.wait_for(call(
                self.control, method, f'/instances/{self.instance}',
                [('Content-Type', 'application/json')],
                json.dumps(said).encode()), 1)
        except (OSError, TimeoutError):
            return 0
        return answer[0] if answer else 0


class Process:
    """A started process that is polled."""

    started = []

    def __init__(self, popen):
        self.popen = popen
        self.pid = popen.pid
        Process.started.append(self)

    @property
    def returncode(self):
        return self.popen.poll()

    def send_signal(self, number):
        self.popen.send_signal(number)

    async def wait(self):
        while self.returncode is None:
            await asyncio.sleep(0.01)


class Node:
    """A process of the project, started with the command of the deploy file."""

    def __init__(self, record, folder, number, zone, upstream, store):
        self.record = record
        self.number = number
        self.host = host_of(number)
        self.outbound = f'{self.host}:21001'
        self.ready = f'{self.host}:21002'
        self.control = f'{self.host}:21003'
        self.metrics = f'{self.host}:9464'
        self.process = None
        self.log = folder / f'node-{number}.log'
        self.settings = folder / f'node-{number}.json'
        self.settings.write_text(json.dumps({
            'node': f'sidecar-{number}', 'role': 'node',
            'machineClass': 'sidecar', 'serves': ['sidecar', 'control'],
            'ip': self.host, 'zone': zone, 'region': 'r',
            'zones': {zone: 'r'},
            'listen': {'inbound': f'{self.host}:21000',
                       'outbound': self.outbound, 'ready': self.ready,
                       'control': self.control},
            'internalPortRange': [21010, 21025], 'seeds': [],
            'bootstrap': True, 'heartbeatS': HEARTBEAT_S,
            'limits': {'cpuShare': 0.86, 'cores': 2, 'memoryMb': 300,
                       'maxFds': 4100, 'linkMbps': 1000.0, 'diskMb': 0},
            'dataDir': None, 'bounds': BOUNDS,
            'appAddr': f'{upstream.host}:{upstream.port}',
            'service': upstream.service,
            'platform': {'address': store.address, 'form': 'log',
                         'keep_s': 300},
        }), encoding='utf-8')
        upstream.control = self.control

    async def start(self):
        environment = {name: os.environ[name] for name in ('PATH', 'HOME')
                       if name in os.environ}
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['EBONYCLEAT_BOOT'] = str(self.settings)
        with self.log.open('ab') as log:
            # Not through the event loop: an end of the script must be able to
            # kill each process that it has started, at any moment.
            self.process = Process(subprocess.Popen(
                RUN, cwd=ROOT, env=environment, stdout=log, stderr=log,
                stdin=subprocess.DEVNULL))
        self.record.write(f'node {self.number} starts')

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.record.write(f'node {self.number} gets signal {number}')
            self.process.send_signal(number)

    async def stop(self, grace_s=6):
        """SIGTERM, then SIGKILL after the grace period."""
        self.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), grace_s)
        except TimeoutError:
            self.signal(signal.SIGKILL)
            await self.process.wait()
        self.record.write(f'node {self.number} has ended')

    async def is_ready(self):
        try:
            answer = await asyncio.wait_for(call(self.ready, 'GET', '/ready'), 1)
        except (OSError, TimeoutError):
            return False
        return answer is not None and answer[0] == 200


async def call(address, method, target, headers=(), body=b''):
    """One request on a connection of its own; None if it was cut."""
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        lines = [f'{method} {target} HTTP/1.1']
        if not any(name.lower() == 'host' for name, _ in headers):
            lines.append(f'Host: {address}')
        lines += [f'{name}: {text}' for name, text in headers]
        if body or method in ('POST', 'PUT'):
            lines.append(f'Content-Length: {len(body)}')
        writer.write('\r\n'.join([*lines, '', '']).encode('latin-1') + body)
        try:
            message = await read_message(reader)
        except asyncio.IncompleteReadError:
            return None
        if message is None:
            return None
        return int(message[0].split(' ')[1]), message[1], message[2]
    except ConnectionError:
        return None
    finally:
        writer.close()


class Fleet:
    """Store, upstreams and nodes of one script; ends all that it started."""

    def __init__(self, folder):
        self.record = Record(pathlib.Path(folder) / 'record.txt')
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.store = Store()
        self.upstreams = []
        self.nodes = []
        self.next_id = 0
        self.answers = {}

    async def start(self, config, services, **options):
        await self.store.start(host_of(240))
        await self.store.write_config(config)
        for number, service in enumerate(services):
            upstream = Upstream(self.record, number, service, **options)
            await upstream.start()
            node = Node(self.record, self.folder, number, f'zone-{number}',
                        upstream, self.store)
            self.upstreams.append(upstream)
            self.nodes.append(node)
        await asyncio.gather(*(node.start() for node in self.nodes))
        for upstream in self.upstreams:
            upstream.begin_beats()
        ends = time.monotonic() + 20
        while not all([await node.is_ready() for node in self.nodes]):
            if time.monotonic() > ends:
                raise RuntimeError('the nodes do not become ready')
            await asyncio.sleep(0.2)
        await asyncio.sleep(4)  # stabilityWindowS, and the list of members
        self.record.write('all nodes are ready')

    def new_id(self, name='r'):
        self.next_id += 1
        return f'{name}{self.next_id:06d}'

    async def send(self, node, method, path, key, deadline_s, host='site.example',
                   body=b'', name='r', request_id=''):
        """Send one client attempt; returns its id and status (0 if cut)."""
        request_id = request_id or self.new_id(name)
        self.record.write(
            f'client sends {request_id} {method} {path} to node {node.number}')
        headers = [('Host', host), ('X-Request-Id', request_id),
                   ('X-Deadline-Ms', str(int(deadline_s * 1000)))]
        if key:
            headers.append(('Authorization', f'Bearer {key}'))
        try:
            answer = await asyncio.wait_for(
                call(node.outbound, method, path, headers, body), deadline_s)
            status = answer[0] if answer else 0
        except TimeoutError:
            status, answer = -1, None
        except OSError:
            status, answer = 0, None
        self.answers[request_id] = status
        retry = answer[1].get('retry-after', '') if answer else ''
        self.record.write(
            f'client gets {status or "a closed connection"} for {request_id}'
            + (f' retry-after {retry}' if retry else ''))
        return request_id, status

    @staticmethod
    def end_processes():
        for process in Process.started:
            if process.returncode is None:
                process.popen.kill()
                process.popen.wait()

    def end(self):
        self.end_processes()
        for node in self.nodes:
            if os.environ.get('KEEP_LOGS') and node.log.exists():
                shutil.copy(node.log, os.environ['KEEP_LOGS'])
        shutil.rmtree(self.folder, ignore_errors=True)


def route(name, service, kind, **more):
    return {'host': 'site.example', 'pathPrefix': f'/{name}/',
            'routeType': kind, 'attempts': 2, 'timeoutS': 5,
            'targetLatencyS': 1.5, 'priority': 1, 'service': service} | more


def config(version, routes, services, tenants):
    return {'version': f'{version:08x}', 'routes': routes,
            'services': {name: {'healthPath': '/healthz'}
                         for name in services},
            'limits': {'maxHeaderBytes': 16384, 'maxBodyBytes': 1048576,
                       'headerTimeoutS': 3, 'idleTimeoutS': 15},
            'tenants': tenants}


def main(script, folder):
    """Run `script(fleet, trouble)`; it returns whether the rule was broken."""
    trouble = os.environ.get('TROUBLE', '1') != '0'

    async def play():
        fleet = Fleet(folder)
        try:
            broken = await asyncio.wait_for(script(fleet, trouble), 112)
            fleet.record.write(f'rule broken: {broken}')
            return 1 if broken else 0
        except (TimeoutError, RuntimeError, OSError) as error:
            fleet.record.write(f'the case could not run: {error!r}')
            return 2
        finally:
            fleet.end()

    def stop_all(*_):
        Fleet.end_processes()
        os._exit(2)

    signal.signal(signal.SIGTERM, stop_all)
    signal.signal(signal.SIGINT, stop_all)

    async def play_and_exit():
        code = 2
        try:
            code = await play()
        finally:
            print(f'exit {code}', flush=True)
            os._exit(code)

    asyncio.run(play_and_exit())
