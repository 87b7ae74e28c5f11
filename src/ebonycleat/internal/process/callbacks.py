"""Default callbacks."""


def do_nothing() -> None:
    """Do nothing: the default of a callback that is set later or never."""
