"""Guard the arithmetic of the capacity page."""

from __future__ import annotations

import pytest

from lentilroad.capacity.fit import fit_slope


def test_exact_line_has_no_error():
    """A slope must be the one of the line, with an error of zero."""
    slope = fit_slope("x", "B", [1, 2, 4, 8], [5, 7, 11, 19])
    assert slope.slope == pytest.approx(2)
    assert slope.at(100) == pytest.approx(203)
    assert slope.error == pytest.approx(0, abs=1e-9)


def test_scatter_shows_in_the_error():
    """A fit through scattered points must say how uncertain it is."""
    slope = fit_slope("x", "B", [1, 2, 3, 4], [0, 10, 0, 10])
    assert slope.error > 1


def test_two_points_are_refused():
    """Two points always fit; their error would say nothing."""
    with pytest.raises(ValueError, match="three points"):
        fit_slope("x", "B", [1, 2], [1, 2])
