"""Run the command line interface: ``python -m balsamwind``."""

import signal
import sys

if sys.argv[1:2] == ['entry']:
    # A running node reloads its settings on SIGHUP. Until its handler is
    # installed, the default action of the signal would terminate it. This
    # statement precedes the imports so that it also covers the time they take.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

from balsamwind import cli  # noqa: E402

if __name__ == '__main__':
    cli.main()
