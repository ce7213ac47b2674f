"""Entry point of the command ``poplarspar``."""

import sys
import warnings

# The library warns of its own deprecation at import; operators can't act on it.
warnings.filterwarnings("ignore", message=r"\s*Eventlet is")

import eventlet

eventlet.monkey_patch()

from poplarspar.cmdline import main as run_command


def main() -> None:
    """Run the command line of this process."""
    sys.exit(run_command(sys.argv[1:]))


if __name__ == "__main__":
    main()
