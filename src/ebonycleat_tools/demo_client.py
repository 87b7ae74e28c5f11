"""Small HTTP calls of the demo to nodes and targets."""

import dataclasses
import json
import uuid
from typing import Any

import urllib3

TIMEOUT_S = 5.0
ACCEPTED = 'accepted'


class RequestFailed(Exception):
    """A node or a target gave no usable answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Status and text of one answer."""

    status: int
    text: str


class DemoClient:
    """Asks nodes and targets over HTTP."""

    def __init__(self) -> None:
        """Keep connections between calls."""
        self.pools = urllib3.PoolManager(
            retries=False,
            timeout=TIMEOUT_S,
            maxsize=4,
        )

    def get(self, address: str, path: str, key: str = '') -> Reply:
        """Send a GET; raises ``RequestFailed``."""
        headers = {'Authorization': f'Bearer {key}'} if key else {}
        return self.send('GET', address, path, headers, b'')

    def send(
        self,
        method: str,
        address: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
    ) -> Reply:
        """Send one request; raises ``RequestFailed``."""
        try:
            answer = self.pools.request(
                method,
                f'http://{address}{path}',
                headers=headers,
                body=body,
            )
        except urllib3.exceptions.HTTPError as error:
            raise RequestFailed(f'{address}: {error}') from error
        return Reply(answer.status, answer.data.decode(errors='replace'))

    def apply_change(
        self, address: str, command: str, operator_key: str
    ) -> int:
        """Make a change; return its version, raise if not accepted."""
        wanted = {'text': command, 'operation_id': uuid.uuid4().hex}
        reply = self.send(
            'POST',
            address,
            '/-/ebonycleat/operator',
            {'Authorization': f'Bearer {operator_key}'},
            json.dumps(wanted).encode(),
        )
        answer = json.loads(reply.text)
        if answer['status'] != ACCEPTED:
            raise RequestFailed(f'{address}: {reply.text}')
        version: int = answer['version']
        return version

    def is_up(self, address: str) -> bool:
        """Tell whether anything answers at the address."""
        try:
            self.get(address, '/-/ebonycleat/health')
        except RequestFailed:
            return False
        return True

    def is_serving(self, address: str) -> bool:
        """Tell whether a node has a configuration in force."""
        return self.is_up(address) and bool(self.health(address)['serving'])

    def fetch_version(self, address: str) -> int:
        """Return the version in force at a node."""
        version: int = self.health(address)['version']
        return version

    def health(self, address: str) -> Any:
        """Return the health answer of a node."""
        return json.loads(self.get(address, '/-/ebonycleat/health').text)

    def count_runs(self, address: str) -> int:
        """Count the runs at a target."""
        return sum(self.stats(address)['runs_by_path'].values())

    def count_runs_by_key(self, address: str) -> dict[str, int]:
        """Count the runs of each Idempotency-Key at a target."""
        runs: dict[str, int] = self.stats(address)['runs_by_key']
        return runs

    def stats(self, address: str) -> Any:
        """Return everything that a target counted."""
        return json.loads(self.get(address, '/control/stats').text)
