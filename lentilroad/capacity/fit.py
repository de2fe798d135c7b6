"""Least squares through measured sizes."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class Slope:
    """Straight line through measurements at several sizes.

    ``slope`` is in `unit` per unit of size, ``error`` its standard error.
    """

    name: str
    unit: str
    sizes: tuple[float, ...]
    values: tuple[float, ...]
    slope: float
    intercept: float
    error: float

    def at(self, size: float) -> float:
        """Return the value that the line gives at a size."""
        return self.intercept + self.slope * size


def fit_slope(
    name: str, unit: str, sizes: Sequence[float], values: Sequence[float]
) -> Slope:
    """Fit a straight line by least squares.

    Parameters
    ----------
    name, unit : str
        What was measured and its unit.
    sizes, values : sequence of float
        At least three points with different sizes.

    Returns
    -------
    Slope
        Line and the standard error of its slope.

    Raises
    ------
    ValueError
        There are too few points.
    """
    count = len(sizes)
    if count < 3 or count != len(values):
        raise ValueError("fit needs at least three points")
    mean_x = sum(sizes) / count
    mean_y = sum(values) / count
    spread = sum((x - mean_x) ** 2 for x in sizes)
    pairs = list(zip(sizes, values, strict=True))
    slope = sum((x - mean_x) * (y - mean_y) for x, y in pairs) / spread
    intercept = mean_y - slope * mean_x
    residual = sum((y - intercept - slope * x) ** 2 for x, y in pairs)
    return Slope(
        name=name,
        unit=unit,
        sizes=tuple(sizes),
        values=tuple(values),
        slope=slope,
        intercept=intercept,
        error=math.sqrt(residual / (count - 2) / spread),
    )
