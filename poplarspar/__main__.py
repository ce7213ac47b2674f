"""Entry point of the command ``poplarspar``."""

import gc
import os
import signal
import sys

# Imports create many objects and no garbage; collections in between took an eighth of
# the time to start. Daemons turn them on again; other commands end soon.
gc.disable()
# SIGHUP would end the process until the daemon has its own handlers. Changed settings
# are read at the start anyway.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

if sys.argv[1:2] == ["node"]:
    # The platform names nodes and backend servers by address. A restarted node serves
    # sooner without the imports of eventlet's resolver.
    os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")
    # There are no plugins to look for in the metadata of all installed packages.
    os.environ.setdefault("PYDANTIC_DISABLE_PLUGINS", "__all__")

import eventlet

# The processes have one thread, and its patch would search all objects for locks.
eventlet.monkey_patch(thread=False)

from poplarspar.cmdline import main as run_command


def main() -> None:
    """Run the command and exit with its status."""
    sys.exit(run_command(sys.argv[1:]))


if __name__ == "__main__":
    main()
