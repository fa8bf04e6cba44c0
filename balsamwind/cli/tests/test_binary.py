"""Check that the one-file binary is one process and drains on SIGTERM."""

import pathlib
import signal

from build_tools import callers
from build_tools import cluster as cluster_module
from build_tools import conditions
from build_tools import make_binary
import psutil
import pytest

BINARY = make_binary.BUILD / 'balsamwind'


@pytest.fixture(scope='module')
def binary():
    make_binary.main()
    return pathlib.Path(BINARY)


def test_runs_as_one_process_and_drains_on_sigterm(binary):
    with cluster_module.open_cluster(binary=binary) as cluster:
        conditions.wait_for(
            lambda: all(cluster.get_status(name) for name in cluster.entries),
            'all entries answer',
        )
        cluster.apply_contract(callers.make_contract())
        cluster.wait_until_serving(3)
        for name in cluster.entries:
            process = psutil.Process(cluster.processes[name].pid)
            assert process.children(recursive=True) == []
        stream = callers.StreamingCaller(
            cluster, 'entry-a1', 'one two three', 150
        )
        stream.start()
        conditions.wait_for(lambda: stream.tokens, 'the first token')
        entry = cluster.processes['entry-a1']
        entry.send_signal(signal.SIGTERM)
        stream.join(conditions.WAIT_TIMEOUT)
        assert (stream.done, len(stream.tokens)) == (True, 150)
        assert entry.wait(conditions.WAIT_TIMEOUT) == 0
        assert '"drained"' in cluster.read_log('entry-a1')
