"""Entry point of the command ``poplarspar``."""

import sys

import eventlet

eventlet.monkey_patch()

from poplarspar.cmdline import main as run_command


def main() -> None:
    """Run the command and exit with its status."""
    sys.exit(run_command(sys.argv[1:]))


if __name__ == "__main__":
    main()
