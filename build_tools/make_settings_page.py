"""Generate docs/SETTINGS.md from the settings classes."""

import dataclasses
import pathlib
import types
import typing

from balsamwind import settings

PAGE = pathlib.Path(__file__).resolve().parent.parent / 'docs/SETTINGS.md'

INTRODUCTION = """# Settings

One JSON file for each process, checked by `balsamwind check --settings FILE`
and at each start. All findings are reported together, each with the file,
the JSON pointer, what was got and what is allowed; an unknown key is a
finding. This page is made by `python -m build_tools.make_settings_page`.
"""


def make_page():
    """Generate the text of the page.

    Returns
    -------
    str
        The page in Markdown.
    """
    lines = [INTRODUCTION]
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
        section_class, suffix = _find_section_class(hints[field.name])
        if section_class is not None:
            nested.append((section_class, f'{pointer}/{field.name}{suffix}'))
        lines.append(_format_row(field, hints[field.name]))
    lines.append('')
    for section_class, section_pointer in nested:
        _add_section(lines, section_class, section_pointer)


def _find_section_class(hint):
    origin = typing.get_origin(hint)
    if origin in (tuple, types.UnionType):
        argument = typing.get_args(hint)[0]
        suffix = '/*' if origin is tuple else ''
        if dataclasses.is_dataclass(argument):
            return argument, suffix
        return None, ''
    return (hint, '') if dataclasses.is_dataclass(hint) else (None, '')


def _format_row(field, hint):
    metadata = field.metadata
    cells = (
        f'`{field.name}`',
        _format_type(hint),
        metadata.get('unit', ''),
        _format_default(field),
        _format_range(metadata.get('schema', {})),
        metadata.get('help', ''),
    )
    return '| ' + ' | '.join(cells) + ' |'


def _format_type(hint):
    origin = typing.get_origin(hint)
    if origin is tuple:
        return 'list'
    if origin is types.UnionType:
        return f'{_format_type(typing.get_args(hint)[0])}, optional'
    names = {str: 'string', int: 'integer', float: 'number', bool: 'boolean'}
    return names.get(hint, 'section')


def _format_default(field):
    missing = dataclasses.MISSING
    if field.default is not missing:
        return f'`{field.default!r}`'.replace("'", '"')
    return 'required' if field.default_factory is missing else 'defaults'


def _format_range(schema):
    labels = {
        'minimum': 'from',
        'exclusiveMinimum': 'above',
        'maximum': 'to',
        'pattern': 'like',
        'minLength': 'at least characters',
    }
    return ', '.join(
        f'{labels[key]} `{value}`'
        for key, value in schema.items()
        if key in labels
    )


if __name__ == '__main__':
    PAGE.write_text(make_page(), encoding='utf-8')
