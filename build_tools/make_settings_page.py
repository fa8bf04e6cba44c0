"""Write docs/SETTINGS.md from the settings classes."""

import dataclasses
import pathlib
import types
import typing

from balsamwind import settings

PAGE = pathlib.Path(__file__).resolve().parent.parent / 'docs/SETTINGS.md'

HEAD = """# Settings

One JSON file for each process, checked by `balsamwind check --settings FILE`
and at each start. All findings are reported together, each with the file,
the JSON pointer, what was got and what is allowed; an unknown key is a
finding. This page is made by `python -m build_tools.make_settings_page`.
"""


def make_page():
    """Text of the page."""
    lines = [HEAD]
    _add_section(lines, settings.Settings, '')
    return '\n'.join(lines) + '\n'


def _add_section(lines, cls, pointer):
    hints = typing.get_type_hints(cls)
    lines.append(f'## `{pointer or "/"}`\n')
    lines.append(f'{cls.__doc__.strip()}\n')
    lines.append('| key | type | unit | default | range | meaning |')
    lines.append('| --- | --- | --- | --- | --- | --- |')
    nested = []
    for field in dataclasses.fields(cls):
        inner, suffix = _inner(hints[field.name])
        if inner is not None:
            nested.append((inner, f'{pointer}/{field.name}{suffix}'))
        lines.append(_row(field, hints[field.name]))
    lines.append('')
    for inner, place in nested:
        _add_section(lines, inner, place)


def _inner(hint):
    origin = typing.get_origin(hint)
    if origin in (tuple, types.UnionType):
        argument = typing.get_args(hint)[0]
        suffix = '/*' if origin is tuple else ''
        if dataclasses.is_dataclass(argument):
            return argument, suffix
        return None, ''
    return (hint, '') if dataclasses.is_dataclass(hint) else (None, '')


def _row(field, hint):
    metadata = field.metadata
    cells = (
        f'`{field.name}`',
        _type_name(hint),
        metadata.get('unit', ''),
        _default(field),
        _range(metadata.get('schema', {})),
        metadata.get('help', ''),
    )
    return '| ' + ' | '.join(cells) + ' |'


def _type_name(hint):
    origin = typing.get_origin(hint)
    if origin is tuple:
        return 'list'
    if origin is types.UnionType:
        return f'{_type_name(typing.get_args(hint)[0])}, optional'
    names = {str: 'string', int: 'integer', float: 'number', bool: 'boolean'}
    return names.get(hint, 'section')


def _default(field):
    missing = dataclasses.MISSING
    if field.default is not missing:
        return f'`{field.default!r}`'.replace("'", '"')
    return 'required' if field.default_factory is missing else 'defaults'


def _range(schema):
    words = {
        'minimum': 'from',
        'exclusiveMinimum': 'above',
        'maximum': 'to',
        'pattern': 'like',
        'minLength': 'at least characters',
    }
    return ', '.join(
        f'{words[key]} `{value}`'
        for key, value in schema.items()
        if key in words
    )


if __name__ == '__main__':
    PAGE.write_text(make_page(), encoding='utf-8')
