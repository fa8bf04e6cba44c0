"""Tables of who waits, who is refused and who pays, from a report of a day.

The bench writes a report of a day as JSON (option ``--report``). Usage::

    python -m build_tools.report_tables REPORT [REPORT]

With two reports, each row of the first is followed by that of the second, so
that the same day can be compared with a part switched off and on.
"""

import json
import sys

COLUMNS = (
    ('n', 'asked'),
    ('in_aim', 'in time'),
    ('late', 'late'),
    ('refused', 'refused'),
    ('failed', 'failed'),
    ('not_owed', 'not owed'),
    ('worth', 'share'),
    ('p50_ms', 'p50 ms'),
    ('p99_ms', 'p99 ms'),
)
"""Fields of a row of the report, with their headings."""

GROUPS = (
    ('classes', 'kind of request'),
    ('zones', 'data centre'),
    ('windows', 'from second'),
)
"""Lists of rows in the report, with the heading of their names."""

MIN_PRICE = 0.003
"""Price below which an item is left out (share of the day's worth)."""


def load_report(path):
    """Read a report.

    Parameters
    ----------
    path : str
        Path of the JSON file.

    Returns
    -------
    dict
        Its content.
    """
    with open(path, encoding='utf-8') as file:
        return json.load(file)


def make_rows(reports, group):
    """Make the rows of one table.

    Parameters
    ----------
    reports : list of dict
        One report, or two of the same day.
    group : str
        Name of a list of rows in the report.

    Returns
    -------
    list of list of str
        Rows with the name of the row first; those of the same name stand
        together, in the order of the reports.
    """
    by_name = {}
    for report in reports:
        for item in [*report.get(group, ()), report['all']]:
            by_name.setdefault(item['name'], []).append(item)
    # The row of all requests comes last.
    names = [name for name in by_name if name != 'all']
    return [
        [name, *(str(item.get(field, '')) for field, _ in COLUMNS)]
        for name in [*names, 'all']
        for item in by_name[name]
    ]


def make_price_rows(reports):
    """Make the rows of the prices that are worth a look in any report.

    Parameters
    ----------
    reports : list of dict
        One report, or two of the same day.

    Returns
    -------
    list of list of str
        Name of the item, then its price in each report.
    """
    prices = [
        {name: price for name, _, price in report['prices']}
        for report in reports
    ]
    names = {name: None for part in prices for name in part}
    return [
        [name, *(f'{part.get(name, 0.0):.4f}' for part in prices)]
        for name in names
        if any(part.get(name, 0.0) >= MIN_PRICE for part in prices)
    ]


def format_table(headings, rows):
    """Format a table in Markdown; a str.

    Parameters
    ----------
    headings : list of str
        Headings of the columns.
    rows : list of list of str
        Cells of each row.
    """
    lines = [headings, ['---'] * len(headings), *rows]
    return '\n'.join(f'| {" | ".join(cells)} |' for cells in lines)


def main(paths):
    """Print the tables of one report, or of two.

    Parameters
    ----------
    paths : list of str
        Paths of the reports.
    """
    reports = [load_report(path) for path in paths]
    for report in reports:
        parts = ', '.join(
            f'{name} {share:.3f}' for name, _, share in report['parts']
        )
        print(f'worth {report["G"]:.3f}: {parts}')
    for group, heading in GROUPS:
        headings = [heading, *(name for _, name in COLUMNS)]
        print()
        print(format_table(headings, make_rows(reports, group)))
    print()
    headings = ['price', *(f'report {n + 1}' for n in range(len(paths)))]
    print(format_table(headings, make_price_rows(reports)))


if __name__ == '__main__':
    main(sys.argv[1:])
