"""Findings of a validation, each with its location."""

import dataclasses

from balsamwind import exceptions


@dataclasses.dataclass(slots=True, frozen=True)
class Finding:
    """Validation error in a file or an object.

    Parameters
    ----------
    place : str
        Name of the file or object.
    pointer : str
        JSON pointer to the value; empty for the whole document.
    got : object
        Value that was found.
    allowed : str
        Description of the allowed values.
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


def list_findings(validator, data, place, ignored=()):
    """List the violations of a JSON schema.

    Parameters
    ----------
    validator : jsonschema.Draft202012Validator
        Validator of the schema.
    data : object
        Parsed JSON to validate.
    place : str
        Name of the file or object that contains `data`.
    ignored : container of str
        Schema keywords whose violations are not listed, such as
        ``additionalProperties``.

    Returns
    -------
    list of Finding
        Findings in the order of their JSON paths.
    """
    errors = sorted(
        validator.iter_errors(data), key=lambda error: error.json_path
    )
    return [
        Finding(
            place,
            _make_pointer(error),
            error.instance,
            _describe_allowed(error),
        )
        for error in errors
        if error.validator not in ignored
    ]


def raise_findings(findings):
    """Raise an exception if there are findings.

    Parameters
    ----------
    findings : list of Finding
        Findings of a validation; may be empty.

    Raises
    ------
    balsamwind.exceptions.InvalidInput
        The list is not empty.
    """
    if findings:
        raise exceptions.InvalidInput(findings)


def _make_pointer(error):
    return ''.join(f'/{part}' for part in error.absolute_path)


def _describe_allowed(error):
    match error.validator:
        case 'additionalProperties':
            known_keys = ', '.join(sorted(error.schema.get('properties', {})))
            return f'only the keys {known_keys} ({error.message})'
        case 'required':
            return error.message
    return f'{error.validator} {error.validator_value!r}'
