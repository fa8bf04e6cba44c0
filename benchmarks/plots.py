"""SVG plots of benchmark results.

Only this module needs matplotlib, so it is imported only when a plot is
requested.
"""

import matplotlib
from matplotlib import pyplot

# A fixed salt makes the identifiers in the SVG files reproducible.
matplotlib.rcParams['svg.hashsalt'] = 'balsamwind'

WIDTH = 7.0
HEIGHT = 3.6
"""Width and height of a plot (inches)."""


def save_bars(path, title, unit, series):
    """Save a plot of grouped bars.

    Parameters
    ----------
    path : str
        SVG file to write.
    title : str
        Title of the plot.
    unit : str
        Unit of the values, for the y axis.
    series : dict of str to dict of str to float
        Series -> group of bars -> value; all series have the same groups.
    """
    figure, axes = pyplot.subplots(figsize=(WIDTH, HEIGHT))
    groups = list(next(iter(series.values())))
    width = 0.8 / len(series)
    for index, (name, values) in enumerate(series.items()):
        positions = [i + index * width for i in range(len(groups))]
        axes.bar(positions, [values[g] for g in groups], width, label=name)
    tick_offset = 0.4 - width / 2
    axes.set_xticks([i + tick_offset for i in range(len(groups))], groups)
    _save_figure(figure, axes, path, title, unit)


def save_points(path, title, labels, points, line=None):
    """Save a scatter plot, with a straight line if one is given.

    Parameters
    ----------
    path : str
        SVG file to write.
    title : str
        Title of the plot.
    labels : tuple of str
        Labels of the x axis and the y axis.
    points : dict of str to list of tuple of float
        Series -> (x, y) of its points.
    line : tuple of float or None
        Intercept and slope of the line.
    """
    figure, axes = pyplot.subplots(figsize=(WIDTH, HEIGHT))
    for name, pairs in points.items():
        axes.scatter(*zip(*pairs, strict=True), s=12, label=name)
    if line is not None:
        max_x = max(x for pairs in points.values() for x, _ in pairs)
        axes.plot([0, max_x], [line[0], line[0] + line[1] * max_x], 'k--')
    axes.set_xlabel(labels[0])
    _save_figure(figure, axes, path, title, labels[1])


def _save_figure(figure, axes, path, title, unit):
    axes.set_title(title)
    axes.set_ylabel(unit)
    axes.set_ylim(bottom=0)
    axes.legend(fontsize='small')
    figure.tight_layout()
    figure.savefig(path, metadata={'Date': None})
    pyplot.close(figure)
