"""Findings of a check, each with its place."""

import dataclasses

from balsamwind import exceptions


@dataclasses.dataclass(slots=True, frozen=True)
class Finding:
    """One thing that is wrong in a file or an object.

    Parameters
    ----------
    place : str
        File or object.
    pointer : str
        JSON pointer into it.
    got : object
        What stands there.
    allowed : str
        What may stand there.
    """

    place: str
    pointer: str
    got: object
    allowed: str

    def __str__(self):
        return (
            f'{self.place}: {self.pointer or "/"}: got {self.got!r},'
            f' allowed: {self.allowed}'
        )


def make_findings(validator, data, place, ignored=()):
    """List all that a JSON schema validator finds wrong in `data`.

    Parameters
    ----------
    validator : jsonschema.Draft202012Validator
        Checks the data.
    data : object
        Parsed JSON.
    place : str
        File or object that it came from.
    ignored : container of str
        Keywords of the schema whose errors are left out.

    Returns
    -------
    list of Finding
    """
    errors = sorted(
        validator.iter_errors(data), key=lambda error: error.json_path
    )
    return [
        Finding(place, _pointer(error), error.instance, _allowed(error))
        for error in errors
        if error.validator not in ignored
    ]


def raise_findings(findings):
    """Raise `InvalidInput` if there are findings."""
    if findings:
        raise exceptions.InvalidInput(findings)


def _pointer(error):
    return ''.join(f'/{part}' for part in error.absolute_path)


def _allowed(error):
    match error.validator:
        case 'additionalProperties':
            known = ', '.join(sorted(error.schema.get('properties', {})))
            return f'only the keys {known} ({error.message})'
        case 'required':
            return error.message
    return f'{error.validator} {error.validator_value!r}'
