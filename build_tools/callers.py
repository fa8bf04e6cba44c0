"""Callers of a cluster: a contract, a key, and a streamed request."""

import hashlib
import http.client
import json
import threading

from build_tools import cluster as cluster_module

KEY = 'rotagzeli-demo-key'


def make_contract():
    """Contract of the example, with this module's API key."""
    path = cluster_module.ROOT / 'examples/rotagzeli-contract.json'
    contract = json.loads(path.read_text(encoding='utf-8'))
    contract['api_key_hashes'] = [hashlib.sha256(KEY.encode()).hexdigest()]
    return contract


class Stream(threading.Thread):
    """A caller that reads a streamed completion."""

    def __init__(self, cluster, entry, prompt, max_tokens):
        super().__init__(daemon=True)
        self.tokens = []
        self.done = False
        self.error = None
        self._address = cluster.entries[entry]['callers']
        self._body = {
            'model': 'rota-model',
            'prompt': prompt,
            'max_tokens': max_tokens,
            'stream': True,
        }

    def run(self):
        """Read the whole answer."""
        connection = http.client.HTTPConnection(self._address, timeout=30)
        try:
            connection.request(
                'POST',
                '/v1/completions',
                json.dumps(self._body).encode('utf-8'),
                {'Authorization': f'Bearer {KEY}'},
            )
            response = connection.getresponse()
            rest = b''
            # read1, unlike iteration, raises if the body is cut.
            while part := response.read1():
                *lines, rest = (rest + part).split(b'\n')
                for line in lines:
                    self._take(line.decode('utf-8').strip())
        except (OSError, http.client.HTTPException) as error:
            self.error = str(error)
        finally:
            connection.close()

    def _take(self, line):
        if not line.startswith('data: '):
            return
        data = line.removeprefix('data: ')
        if data == '[DONE]':
            self.done = True
            return
        value = json.loads(data)
        if 'error' in value:
            self.error = value['error']['code']
            return
        text = value['choices'][0]['text']
        if text:
            self.tokens.append(text)
