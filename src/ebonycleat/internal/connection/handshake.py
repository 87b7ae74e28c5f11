"""Proof that both ends of a link belong to the same fleet.

Nodes act on a team's behalf when a peer says so; hence a process that does
not know the fleet's secret must not be able to open a link.
"""

import hashlib
import hmac
import secrets

from ebonycleat.internal.connection.peer_messages import Challenge, Hello

NONCE_BYTES = 16


def create_challenge() -> Challenge:
    """Create a challenge that was never used before."""
    return Challenge(secrets.token_bytes(NONCE_BYTES))


def sign_hello(
    challenge: Challenge,
    secret: bytes,
    node: str,
    incarnation: int,
) -> Hello:
    """Answer a challenge in the name of ``node``."""
    proof = _proof(challenge, secret, node, incarnation)
    return Hello(node, incarnation, proof)


def verify_hello(challenge: Challenge, secret: bytes, hello: Hello) -> bool:
    """Tell whether the hello was signed with the fleet's secret."""
    wanted = _proof(challenge, secret, hello.node, hello.incarnation)
    return hmac.compare_digest(wanted, hello.proof)


def _proof(
    challenge: Challenge,
    secret: bytes,
    node: str,
    incarnation: int,
) -> bytes:
    signed = challenge.nonce + f'{incarnation}:{node}'.encode()
    return hmac.new(secret, signed, hashlib.sha256).digest()
