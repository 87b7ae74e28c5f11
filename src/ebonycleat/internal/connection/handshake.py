"""Authentication of the node that opens a link to a peer.

Nodes run calls for whichever team a peer names. Only processes that know the
secret that all nodes of the fleet share may therefore open a link.
"""

import hashlib
import hmac
import secrets

from ebonycleat.internal.connection.peer_messages import Challenge, Hello

NONCE_BYTES = 16


def create_challenge() -> Challenge:
    """Create a challenge with a new random nonce."""
    return Challenge(secrets.token_bytes(NONCE_BYTES))


def sign_hello(
    challenge: Challenge,
    secret: bytes,
    node: str,
    incarnation: int,
) -> Hello:
    """Create the hello of ``node`` with the proof for a challenge."""
    proof = _compute_proof(challenge, secret, node, incarnation)
    return Hello(node, incarnation, proof)


def verify_hello(challenge: Challenge, secret: bytes, hello: Hello) -> bool:
    """Return whether a hello proves that its sender knows the secret."""
    expected_proof = _compute_proof(
        challenge, secret, hello.node, hello.incarnation
    )
    return hmac.compare_digest(expected_proof, hello.proof)


def _compute_proof(
    challenge: Challenge,
    secret: bytes,
    node: str,
    incarnation: int,
) -> bytes:
    signed = challenge.nonce + f'{incarnation}:{node}'.encode()
    return hmac.new(secret, signed, hashlib.sha256).digest()
