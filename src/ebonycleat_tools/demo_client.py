"""HTTP client of the demo for nodes and targets."""

import dataclasses
import json
import uuid
from typing import Any

import urllib3

TIMEOUT_S = 5.0
ACCEPTED = 'accepted'


class RequestFailed(Exception):
    """A node or a target did not answer, or refused a change."""


@dataclasses.dataclass(frozen=True, slots=True)
class DemoResponse:
    """Status and text of one HTTP response."""

    status: int
    text: str


class DemoClient:
    """Sends requests to nodes and targets."""

    def __init__(self) -> None:
        """Create the pools that keep connections open between requests."""
        self.connections = urllib3.PoolManager(
            retries=False,
            timeout=TIMEOUT_S,
            maxsize=4,
        )

    def get(self, address: str, path: str, key: str = '') -> DemoResponse:
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
    ) -> DemoResponse:
        """Send one request; raises ``RequestFailed``."""
        try:
            response = self.connections.request(
                method,
                f'http://{address}{path}',
                headers=headers,
                body=body,
            )
        except urllib3.exceptions.HTTPError as error:
            raise RequestFailed(f'{address}: {error}') from error
        return DemoResponse(
            response.status, response.data.decode(errors='replace')
        )

    def apply_change(
        self, address: str, command: str, operator_key: str
    ) -> int:
        """Submit a change and return its version.

        Raises ``RequestFailed`` if the node does not accept it.
        """
        request = {'text': command, 'operation_id': uuid.uuid4().hex}
        response = self.send(
            'POST',
            address,
            '/-/ebonycleat/operator',
            {'Authorization': f'Bearer {operator_key}'},
            json.dumps(request).encode(),
        )
        answer = json.loads(response.text)
        if answer['status'] != ACCEPTED:
            raise RequestFailed(f'{address}: {response.text}')
        version: int = answer['version']
        return version

    def is_up(self, address: str) -> bool:
        """Return whether anything answers at the address."""
        try:
            self.get(address, '/-/ebonycleat/health')
        except RequestFailed:
            return False
        return True

    def is_serving(self, address: str) -> bool:
        """Return whether a node has a configuration in force."""
        return self.is_up(address) and bool(
            self.fetch_health(address)['serving']
        )

    def fetch_version(self, address: str) -> int:
        """Return the configuration version in force at a node."""
        version: int = self.fetch_health(address)['version']
        return version

    def fetch_health(self, address: str) -> Any:
        """Return the decoded health answer of a node."""
        return json.loads(self.get(address, '/-/ebonycleat/health').text)

    def count_runs(self, address: str) -> int:
        """Return how many requests a target has run."""
        return sum(self.fetch_stats(address)['runs_by_path'].values())

    def count_runs_by_key(self, address: str) -> dict[str, int]:
        """Return how often a target has run each Idempotency-Key."""
        runs: dict[str, int] = self.fetch_stats(address)['runs_by_key']
        return runs

    def fetch_stats(self, address: str) -> Any:
        """Return the decoded statistics of a target."""
        return json.loads(self.get(address, '/control/stats').text)
