"""Least-squares fit of a line through measured points."""

import json
import math
import statistics
from collections.abc import Sequence
from typing import NamedTuple

MIN_POINTS = 4

Points = Sequence[tuple[float, float]]


class Fit(NamedTuple):
    """A line ``y = intercept + slope * x``.

    ``residual`` is the root mean square of the points' distances in y from the line, in
    the unit of y; ``relative_residual`` is its share of the mean of y.
    """

    slope: float
    intercept: float
    residual: float
    relative_residual: float

    def at(self, x: float) -> float:
        """Return the value of the line at ``x``."""
        return self.intercept + self.slope * x


class Slope(NamedTuple):
    """Measured points to fit; ``points`` are (x, y) pairs in the named units."""

    name: str
    unit_x: str
    unit_y: str
    points: Points


def fit_line(points: Points) -> Fit:
    """Return the least-squares line through at least ``MIN_POINTS`` points.

    Raises ValueError for fewer points or when all have the same x.

    >>> fit_line([(1, 5.0), (2, 7.0), (3, 9.0), (4, 11.0)])
    Fit(slope=2.0, intercept=3.0, residual=0.0, relative_residual=0.0)
    """
    if len(points) < MIN_POINTS:
        raise ValueError(f"a fit needs {MIN_POINTS} points, got {len(points)}")
    xs, ys = zip(*points, strict=True)
    if len(set(xs)) < 2:
        raise ValueError(f"all points have x = {xs[0]}")
    slope, intercept = statistics.linear_regression(xs, ys)
    squares = [(y - intercept - slope * x) ** 2 for x, y in points]
    residual = math.sqrt(statistics.fmean(squares))
    mean = statistics.fmean(ys)
    relative = residual / abs(mean) if mean else (math.inf if residual else 0.0)
    return Fit(slope, intercept, residual, relative)


def to_json(slope: Slope) -> str:
    """Return one line of JSON with the points and the fit."""
    fit = fit_line(slope.points)
    value = {
        "name": slope.name,
        "unit_x": slope.unit_x,
        "unit_y": slope.unit_y,
        "points": [[_round_digits(x), _round_digits(y)] for x, y in slope.points],
        "slope": _round_digits(fit.slope),
        "intercept": _round_digits(fit.intercept),
        "residual": _round_digits(fit.residual),
        "residual_relative": _round_digits(fit.relative_residual),
        "command": f"python -m bench.slopes --json --only {slope.name}",
    }
    return json.dumps(value)


def _round_digits(value: float) -> float:
    """Round to five significant digits, more than the measurements are precise to."""
    return float(f"{value:.5g}")
