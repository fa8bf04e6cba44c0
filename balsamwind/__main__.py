"""Start the command line: ``python -m balsamwind``."""

import signal
import sys

if sys.argv[1:2] == ['entry']:
    # A node reads its settings again at SIGHUP; while it starts, the signal
    # must not end it.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

from balsamwind import cli  # noqa: E402

if __name__ == '__main__':
    cli.main()
