"""Addresses of nodes, written as ``host:port``."""

MAX_ADDRESS_LENGTH = 255
MAX_PORT = 65_535


def is_address(text: str) -> bool:
    """Tell whether a text can be an address."""
    try:
        split_host_port(text)
    except ValueError:
        return False
    return True


def split_host_port(address: str) -> tuple[str, int]:
    """Split an address; raises ``ValueError`` if it can be no address."""
    host, _, port_text = address.rpartition(':')
    is_usable = address.isascii() and len(address) <= MAX_ADDRESS_LENGTH
    if not host or not is_usable:
        raise ValueError(f'expected HOST:PORT, found {address[:80]!r}')
    if not (port_text.isascii() and port_text.isdecimal()):
        raise ValueError(f'expected a port number, found {port_text[:80]!r}')
    port = int(port_text)
    if not 0 < port <= MAX_PORT:
        raise ValueError(f'expected a port up to {MAX_PORT}, found {port}')
    return host, port
