"""``ebonycleat-mesh-node``: the node beside a target on the platform."""

import signal
import sys


def main(argv: list[str] | None = None) -> int:
    """Run the program; returns its exit code.

    Until the process handles SIGHUP itself, the signal must not end it. A
    change of the settings file that it announces is noticed later.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Importing the node takes most of the time of a start.
    from ebonycleat.commands.mesh_node_process import run_program

    return run_program(sys.argv[1:] if argv is None else argv)


if __name__ == '__main__':
    sys.exit(main())
