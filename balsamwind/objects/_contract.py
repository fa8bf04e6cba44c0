"""Contracts of customers and their validation."""

import dataclasses
import datetime
import functools
import hashlib

import lazy_loader

from balsamwind.objects import _codec
from balsamwind.settings import _findings

# Nodes that read no contracts do without the library.
jsonschema = lazy_loader.load('jsonschema')

_NAME = {'type': 'string', 'pattern': '^[a-z0-9][a-z0-9-]{0,62}$'}
_TIMESTAMP = {
    'type': 'string',
    'pattern': r'^\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d+)?Z$',
}
_RATE_LIMIT = {'type': 'number', 'exclusiveMinimum': 0}

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
        'starts_at': _TIMESTAMP,
        'ends_at': _TIMESTAMP,
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
                'requests_per_second': _RATE_LIMIT,
                'in_flight': {'type': 'integer', 'minimum': 1},
                'tokens_per_second': _RATE_LIMIT,
            },
        },
    },
}
"""JSON schema of a contract as written by operators."""


@dataclasses.dataclass(slots=True, frozen=True)
class ModelTerms:
    """Capacity that a contract promises for one model.

    Parameters
    ----------
    model : str
        Name of the model.
    version : str
        Version of the weights of the model.
    replicas : int
        Number of replica groups promised.
    group_size : int
        Number of VMs in each replica group.
    adapters : tuple of str
        Adapters loaded in addition to the model.
    role : str
        Role of the engines, such as ``serve``.
    """

    model: str
    version: str
    replicas: int
    group_size: int
    adapters: tuple[str, ...] = ()
    role: str = 'serve'


@dataclasses.dataclass(slots=True, frozen=True)
class Limits:
    """Limits of a contract, each for the total over all entries.

    Parameters
    ----------
    requests_per_second : float
        Largest rate of admitted requests (requests/s).
    in_flight : int
        Largest number of concurrent requests (count).
    tokens_per_second : float
        Largest rate of generated tokens (tokens/s).
    """

    requests_per_second: float = 1000.0
    in_flight: int = 1000
    tokens_per_second: float = 1e6


@dataclasses.dataclass(slots=True, frozen=True)
class Contract:
    """Contract of one customer, stored under the name of the customer.

    Parameters
    ----------
    customer : str
        Name of the customer.
    api_key_hashes : tuple of str
        SHA-256 hash of each API key (hexadecimal).
    starts_at : str
        Start of the contract (UTC, ISO 8601), inclusive.
    ends_at : str
        End of the contract (UTC, ISO 8601), exclusive.
    priority : int
        Priority from 0 to 9. Under overload, requests with the lowest
        priority are shed first.
    models : tuple of ModelTerms
        Capacity promised for each model.
    services : tuple of str
        Names of the plain services that the customer may call.
    limits : Limits
        Limits on the requests of the customer.
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
        """Check whether the contract is in force at a given time.

        Parameters
        ----------
        now : float
            Time (seconds since the epoch, UTC).

        Returns
        -------
        bool
        """
        return (
            parse_timestamp(self.starts_at)
            <= now
            < parse_timestamp(self.ends_at)
        )

    def find_terms(self, model):
        """Find the terms of a model.

        Parameters
        ----------
        model : str
            Name of the model.

        Returns
        -------
        ModelTerms or None
            None if the contract does not include the model.
        """
        for terms in self.models:
            if terms.model == model:
                return terms
        return None


@functools.lru_cache(maxsize=4096)
def parse_timestamp(text):
    """Parse an ISO 8601 timestamp.

    Parameters
    ----------
    text : str
        Timestamp in UTC, such as ``2026-01-01T00:00:00Z``.

    Returns
    -------
    float
        Time (seconds since the epoch, UTC).

    Raises
    ------
    ValueError
        The timestamp is malformed.
    """
    timestamp = datetime.datetime.fromisoformat(text.replace('Z', '+00:00'))
    return timestamp.timestamp()


def make_key_hash(api_key):
    """Hash an API key.

    Parameters
    ----------
    api_key : str
        API key of a customer.

    Returns
    -------
    str
        SHA-256 hash of the key (hexadecimal).
    """
    return hashlib.sha256(api_key.encode('utf-8')).hexdigest()


@functools.cache
def _make_validator():
    return jsonschema.Draft202012Validator(CONTRACT_SCHEMA)


def check_contract(data, place='contract', allow_unknown=False):
    """Validate a contract and convert it to a `Contract`.

    Parameters
    ----------
    data : object
        Parsed JSON.
    place : str
        Name of the file or object that contains `data`, for error messages.
    allow_unknown : bool
        Whether unknown keys are ignored instead of rejected. A contract
        written by a newer version may contain such keys.

    Returns
    -------
    Contract

    Raises
    ------
    balsamwind.exceptions.InvalidInput
        The contract is invalid; the exception has all findings.
    """
    ignored = ('additionalProperties',) if allow_unknown else ()
    findings = _findings.list_findings(_make_validator(), data, place, ignored)
    if not findings:
        findings = _check_semantics(data, place)
    _findings.raise_findings(findings)
    return _codec.decode(Contract, data)


def _check_semantics(data, place):
    """Find errors that the JSON schema can't express."""
    findings = []
    for key in ('starts_at', 'ends_at'):
        try:
            parse_timestamp(data[key])
        except ValueError as error:
            findings.append(
                _findings.Finding(place, f'/{key}', data[key], str(error))
            )
    if not findings and parse_timestamp(data['ends_at']) <= parse_timestamp(
        data['starts_at']
    ):
        findings.append(
            _findings.Finding(
                place,
                '/ends_at',
                data['ends_at'],
                'a time later than starts_at',
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
                    'each model at most once',
                )
            )
    return findings
