"""Runs the command line for `python -m rowanrack`."""

import signal
import sys

if sys.argv[1:2] == ["serve"]:
    # SIGHUP by default ends a process, also one that is still importing its modules. Ignoring it until then
    # loses nothing, since the configuration is read afterwards.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

from rowanrack.unused_libraries import block_unused_libraries

if sys.argv[1:2] == ["serve"]:
    block_unused_libraries()

from rowanrack.cli import main

if __name__ == "__main__":
    main()
