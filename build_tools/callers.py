"""Callers of a cluster: an API key, a contract and a streaming request."""

import hashlib
import http.client
import json
import threading

from build_tools import cluster as cluster_module

KEY = 'rotagzeli-demo-key'


def make_contract():
    """Make the example's contract with the hash of `KEY` as its API key.

    Returns
    -------
    dict
        The contract.
    """
    path = cluster_module.ROOT / 'examples/rotagzeli-contract.json'
    contract = json.loads(path.read_text(encoding='utf-8'))
    contract['api_key_hashes'] = [hashlib.sha256(KEY.encode()).hexdigest()]
    return contract


class StreamingCaller(threading.Thread):
    """Thread that requests a completion and reads its token stream.

    Parameters
    ----------
    cluster : Cluster
        Cluster to send the request to.
    entry : str
        Name of the entry to send it to.
    prompt : str
        Prompt of the completion.
    max_tokens : int
        Number of tokens to ask for.

    Attributes
    ----------
    tokens : list of str
        Tokens received so far.
    done : bool
        Whether the stream has ended with its end marker.
    error : str or None
        Error code of the answer, or text of the connection's error.
    """

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
        """Send the request and read the answer until its end."""
        connection = http.client.HTTPConnection(self._address, timeout=30)
        try:
            connection.request(
                'POST',
                '/v1/completions',
                json.dumps(self._body).encode('utf-8'),
                {'Authorization': f'Bearer {KEY}'},
            )
            response = connection.getresponse()
            incomplete_line = b''
            # Unlike iteration, read1 raises if the body is truncated.
            while chunk := response.read1():
                *lines, incomplete_line = (incomplete_line + chunk).split(
                    b'\n'
                )
                for line in lines:
                    self._parse_line(line.decode('utf-8').strip())
        except (OSError, http.client.HTTPException) as error:
            self.error = str(error)
        finally:
            connection.close()

    def _parse_line(self, line):
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
