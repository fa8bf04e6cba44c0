"""Start of an entry that can not listen."""

import json
import socket
import subprocess
import sys

from build_tools import cluster as cluster_module


def test_addresses_in_use_are_all_named(tmp_path):
    with socket.socket() as holder:
        holder.bind(('127.0.0.1', 0))
        holder.listen()
        address = f'127.0.0.1:{holder.getsockname()[1]}'
        names = ('callers', 'operators', 'peers')
        path = tmp_path / 'settings.json'
        settings = {
            'node': {'name': 'n', 'data_centre': 'd'},
            'listen': dict.fromkeys(names, address),
            'platform': {'url': 'http://127.0.0.1:1'},
        }
        path.write_text(json.dumps(settings), encoding='utf-8')
        command = [sys.executable, '-m', 'balsamwind', 'entry']
        done = subprocess.run(
            [*command, '--settings', path],
            capture_output=True,
            text=True,
            cwd=cluster_module.ROOT,
        )
    assert done.returncode == 2
    assert all(f'/listen/{name}: got' in done.stderr for name in names)
