"""Launcher of the single-file executable."""

import os
import signal
import subprocess
import time

import pytest

from build_tools import make_binary

PROGRAM = '#!/bin/sh\nsleep 0.6\nexit 7\n'
"""Stands for the packed program while it starts."""


@pytest.mark.parametrize(
    ('command', 'status'), [('entry', 7), ('status', -signal.SIGHUP)]
)
def test_node_that_starts_ignores_sighup(tmp_path, command, status):
    # A change of the settings ended a node that had just been started: the
    # interpreter needs 25 to 50 ms until its first statement.
    folder = tmp_path / 'program'
    folder.mkdir()
    program = folder / 'balsamwind'
    program.write_text(PROGRAM)
    program.chmod(0o700)
    executable = tmp_path / 'balsamwind'
    make_binary.write_executable(executable, make_binary.make_archive(folder))
    process = subprocess.Popen(
        [str(executable), command], env={**os.environ, 'TMPDIR': str(tmp_path)}
    )
    time.sleep(0.2)
    process.send_signal(signal.SIGHUP)
    assert process.wait(5.0) == status
