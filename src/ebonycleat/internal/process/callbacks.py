"""Callbacks for parts that nobody listens to yet."""


def do_nothing() -> None:
    """Stand in until a listener is set."""
