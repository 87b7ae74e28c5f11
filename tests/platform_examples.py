"""Example messages from the specification of the platform, with other names."""

import json

from ebonycleat.internal.connection.http_messages import (
    HttpRequest,
    HttpResponse,
)

CONFIGURATION = {
    'version': '0000000c',
    'routes': {
        'r-map': {
            'host': 'Maps.example',
            'pathPrefix': '/map/',
            'routeType': 'idempotent',
            'timeoutS': 1,
            'targetLatencyS': 1.5,
            'priority': 2,
            'weightedClusters': [
                {'service': 'maps', 'weight': 90},
                {'service': 'maps-new', 'weight': 10},
            ],
            'attempts': 2,
            'authExempt': False,
        },
        'r-renew': {
            'host': 'maps.example',
            'pathPrefix': '/renew/',
            'routeType': 'non_idempotent',
            'timeoutS': 1.2,
            'priority': 0,
            'service': 'billing',
            'attempts': 2,
            'authExempt': True,
        },
    },
    'services': {'maps': {'healthPath': '/healthz', 'maxConnections': 340}},
    'limits': {
        'maxHeaderBytes': 16384,
        'maxBodyBytes': 1000,
        'headerTimeoutS': 3,
        'idleTimeoutS': 15,
    },
    'tenants': {
        'shop': {
            'apiKeys': ['k1', 'k2'],
            'priority': 1,
            'ratePerS': 60,
            'burst': 61,
        },
        'free': {'apiKeys': ['k3']},
    },
    'baseVersion': '00000005',
}

HEARTBEAT = {
    'address': '10.128.0.9:8080',
    'born': 1700000000000,
    'info': {'service': 'maps', 'version': 'v1', 'zone': 'a', 'slots': 40},
    'status': {'state': 'ready', 'seq': 4, 'warmupLeftS': 0},
}

BOOT_SETTINGS = {
    'node': 'sidecar-a-1',
    'role': 'node',
    'ip': '10.1.0.26',
    'zone': 'a',
    'listen': {
        'inbound': '10.1.0.26:8543',
        'outbound': '10.1.0.26:8548',
        'ready': '10.1.0.26:8546',
        'control': '10.1.0.26:8540',
    },
    'internalPortRange': [7000, 7015],
    'bounds': {
        'graceS': 6,
        'revokeFailClosed': True,
        'revokeS': 5,
        'retryBudgetRatio': 0.2,
        'budgetWindowS': 10,
        'budgetSlack': 48,
    },
    'appAddr': '10.1.0.26:8547',
    'service': 'maps',
    'platform': {'address': '10.200.1.7:8545', 'form': 'log'},
    'keyOfALaterVersion': None,
}


def encode_json(tree):
    return json.dumps(tree).encode()


def create_request(method, target, body=b'', headers=()):
    return HttpRequest(method, target, tuple(headers), body)


def create_heartbeat_request(tree=None, instance='i-1'):
    return create_request(
        'PUT', f'/instances/{instance}', encode_json(tree or HEARTBEAT)
    )


class ScriptedPool:
    """Connection pool that answers with the responses of a test."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.requests = []
        self.shares_connections = False

    def send(self, request, on_result):
        self.shares_connections |= not request.is_single
        self.requests.append(request.encoded)
        on_result(self.answers.pop(0))
        return self

    def cancel(self):
        """Ignore the cancellation."""


def json_response(tree, status=200, headers=()):
    return HttpResponse(status, headers, encode_json(tree))
