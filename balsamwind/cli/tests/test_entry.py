"""Start of an entry whose listen addresses are in use."""

import json
import socket
import subprocess
import sys

from build_tools import cluster as cluster_module


def test_reports_every_address_in_use(tmp_path):
    with socket.socket() as occupied_socket:
        occupied_socket.bind(('127.0.0.1', 0))
        occupied_socket.listen()
        address = f'127.0.0.1:{occupied_socket.getsockname()[1]}'
        listener_names = ('callers', 'operators', 'peers')
        path = tmp_path / 'settings.json'
        settings = {
            'node': {'name': 'n', 'data_centre': 'd'},
            'listen': dict.fromkeys(listener_names, address),
            'platform': {'url': 'http://127.0.0.1:1'},
        }
        path.write_text(json.dumps(settings), encoding='utf-8')
        command = [sys.executable, '-m', 'balsamwind', 'entry']
        result = subprocess.run(
            [*command, '--settings', path],
            capture_output=True,
            text=True,
            cwd=cluster_module.ROOT,
        )
    assert result.returncode == 2
    assert all(
        f'/listen/{name}: got' in result.stderr for name in listener_names
    )
