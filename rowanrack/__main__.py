"""`python -m rowanrack` is the command line."""

import signal
import sys

if sys.argv[1:2] == ["serve"]:
    # Guards a sender that still imports its parts against SIGHUP, which by itself ends a process. What it
    # asks for is done all the same: the configuration is read later.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

from rowanrack.cli import main

if __name__ == "__main__":
    main()
