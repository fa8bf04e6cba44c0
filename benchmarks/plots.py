"""Plots of measurements, as SVG; matplotlib is needed for these only."""

import matplotlib
from matplotlib import pyplot

matplotlib.rcParams['svg.hashsalt'] = 'balsamwind'

WIDTH = 7.0
HEIGHT = 3.6
"""Size of a plot (inches)."""


def save_bars(path, title, unit, series):
    """Save grouped bars.

    Parameters
    ----------
    path : str
        SVG file.
    title, unit : str
        Title, and unit of the values.
    series : dict of str to dict of str to float
        Series -> group of bars -> value.
    """
    figure, axes = pyplot.subplots(figsize=(WIDTH, HEIGHT))
    groups = list(next(iter(series.values())))
    width = 0.8 / len(series)
    for number, (name, values) in enumerate(series.items()):
        places = [i + number * width for i in range(len(groups))]
        axes.bar(places, [values[g] for g in groups], width, label=name)
    middle = 0.4 - width / 2
    axes.set_xticks([i + middle for i in range(len(groups))], groups)
    _finish(figure, axes, path, title, unit)


def save_points(path, title, labels, points, line=None):
    """Save points, and a straight line through them.

    Parameters
    ----------
    path : str
        SVG file.
    title : str
        Title.
    labels : tuple of str
        Labels of the axes.
    points : dict of str to list of tuple of float
        Series -> (x, y).
    line : tuple of float or None
        Constant and slope.
    """
    figure, axes = pyplot.subplots(figsize=(WIDTH, HEIGHT))
    for name, pairs in points.items():
        axes.scatter(*zip(*pairs, strict=True), s=12, label=name)
    if line is not None:
        top = max(x for pairs in points.values() for x, _ in pairs)
        axes.plot([0, top], [line[0], line[0] + line[1] * top], 'k--')
    axes.set_xlabel(labels[0])
    _finish(figure, axes, path, title, labels[1])


def _finish(figure, axes, path, title, unit):
    axes.set_title(title)
    axes.set_ylabel(unit)
    axes.set_ylim(bottom=0)
    axes.legend(fontsize='small')
    figure.tight_layout()
    figure.savefig(path, metadata={'Date': None})
    pyplot.close(figure)
