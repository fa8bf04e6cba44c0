"""Start of an entry that can not listen."""

import json
import socket

import pytest

from balsamwind import cli


def test_addresses_in_use_are_all_named(tmp_path, capsys):
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
        with pytest.raises(SystemExit) as caught:
            cli.main(['entry', '--settings', str(path)])
    assert caught.value.code == 2
    said = capsys.readouterr().err
    assert all(f'/listen/{name}: got' in said for name in names)
