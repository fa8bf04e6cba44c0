"""Contract of one customer, and its checks."""

import dataclasses
import datetime
import functools
import hashlib

import jsonschema

from balsamwind.objects import _codec
from balsamwind.settings import _findings

_NAME = {'type': 'string', 'pattern': '^[a-z0-9][a-z0-9-]{0,62}$'}
_INSTANT = {
    'type': 'string',
    'pattern': r'^\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d+)?Z$',
}
_LIMIT = {'type': 'number', 'exclusiveMinimum': 0}

CONTRACT_SCHEMA = {
    'type': 'object',
    'additionalProperties': False,
    'required': ['customer', 'api_key_hashes', 'starts_at', 'ends_at'],
    'properties': {
        'customer': _NAME,
        'api_key_hashes': {
            'type': 'array',
            'minItems': 1,
            'items': {'type': 'string', 'pattern': '^[0-9a-f]{64}$'},
        },
        'priority': {'type': 'integer', 'minimum': 0, 'maximum': 9},
        'starts_at': _INSTANT,
        'ends_at': _INSTANT,
        'models': {
            'type': 'array',
            'items': {
                'type': 'object',
                'additionalProperties': False,
                'required': ['model', 'version', 'replicas', 'group_size'],
                'properties': {
                    'model': _NAME,
                    'version': {'type': 'string', 'minLength': 1},
                    'adapters': {'type': 'array', 'items': _NAME},
                    'role': _NAME,
                    'replicas': {
                        'type': 'integer',
                        'minimum': 0,
                        'maximum': 10000,
                    },
                    'group_size': {
                        'type': 'integer',
                        'minimum': 1,
                        'maximum': 64,
                    },
                },
            },
        },
        'services': {'type': 'array', 'items': _NAME},
        'limits': {
            'type': 'object',
            'additionalProperties': False,
            'properties': {
                'requests_per_second': _LIMIT,
                'in_flight': {'type': 'integer', 'minimum': 1},
                'tokens_per_second': _LIMIT,
            },
        },
    },
}
"""JSON schema of a contract as operators write it."""


@dataclasses.dataclass(slots=True, frozen=True)
class ModelTerms:
    """What a contract promises of one model.

    Parameters
    ----------
    model, version : str
        Which weights.
    replicas : int
        Replica groups promised (count).
    group_size : int
        VMs in one group (count).
    adapters : tuple of str
        Adapters loaded beside the model.
    role : str
        Engine role.
    """

    model: str
    version: str
    replicas: int
    group_size: int
    adapters: tuple[str, ...] = ()
    role: str = 'serve'


@dataclasses.dataclass(slots=True, frozen=True)
class Limits:
    """Upper bounds over all entries together.

    Parameters
    ----------
    requests_per_second : float
        Requests admitted (requests/s).
    in_flight : int
        Requests open at one time (count).
    tokens_per_second : float
        Tokens generated (tokens/s).
    """

    requests_per_second: float = 1000.0
    in_flight: int = 1000
    tokens_per_second: float = 1e6


@dataclasses.dataclass(slots=True, frozen=True)
class Contract:
    """One customer's contract; named after the customer.

    Parameters
    ----------
    customer : str
        Name of the customer.
    api_key_hashes : tuple of str
        SHA-256 of each API key (hexadecimal).
    starts_at, ends_at : str
        In force from the first instant until just before the second
        (UTC, ISO 8601).
    priority : int
        0 (first to be shed) to 9.
    models : tuple of ModelTerms
        Capacity promised.
    services : tuple of str
        Plain services that the customer may call.
    limits : Limits
        Upper bounds.
    """

    customer: str
    api_key_hashes: tuple[str, ...]
    starts_at: str
    ends_at: str
    priority: int = 5
    models: tuple[ModelTerms, ...] = ()
    services: tuple[str, ...] = ()
    limits: Limits = Limits()

    def in_force(self, now):
        """Whether the contract covers `now` (seconds since the epoch)."""
        return load_instant(self.starts_at) <= now < load_instant(self.ends_at)

    def terms(self, model):
        """Terms of `model`, or None."""
        for terms in self.models:
            if terms.model == model:
                return terms
        return None


@functools.lru_cache(maxsize=4096)
def load_instant(text):
    """Seconds since the epoch of an ISO 8601 instant in UTC."""
    instant = datetime.datetime.fromisoformat(text.replace('Z', '+00:00'))
    return instant.timestamp()


def make_key_hash(api_key):
    """SHA-256 of an API key (hexadecimal)."""
    return hashlib.sha256(api_key.encode('utf-8')).hexdigest()


_VALIDATOR = jsonschema.Draft202012Validator(CONTRACT_SCHEMA)


def check_contract(data, place='contract', allow_unknown=False):
    """Check what an operator wrote and build the contract.

    Parameters
    ----------
    data : object
        Parsed JSON.
    place : str
        File or object that `data` came from.
    allow_unknown : bool
        Whether keys that this version does not know are ignored, as in a
        contract that a newer version wrote.

    Returns
    -------
    Contract

    Raises
    ------
    balsamwind.exceptions.InvalidInput
        With all findings.
    """
    ignored = ('additionalProperties',) if allow_unknown else ()
    findings = _findings.make_findings(_VALIDATOR, data, place, ignored)
    if not findings:
        findings = _check_meaning(data, place)
    _findings.raise_findings(findings)
    return _codec.decode(Contract, data)


def _check_meaning(data, place):
    findings = []
    for key in ('starts_at', 'ends_at'):
        try:
            load_instant(data[key])
        except ValueError as error:
            findings.append(
                _findings.Finding(place, f'/{key}', data[key], str(error))
            )
    if not findings and load_instant(data['ends_at']) <= load_instant(
        data['starts_at']
    ):
        findings.append(
            _findings.Finding(
                place, '/ends_at', data['ends_at'], 'later than starts_at'
            )
        )
    models = [terms['model'] for terms in data.get('models', [])]
    for index, model in enumerate(models):
        if model in models[:index]:
            findings.append(
                _findings.Finding(
                    place,
                    f'/models/{index}/model',
                    model,
                    'each model once',
                )
            )
    return findings
