"""Guard against texts that end the check with an unexpected error."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from lentilroad.version.parts import join_configuration, split_configuration
from lentilroad.version.text import check_text
from tests.version.texts import example_text

LINES = example_text("hill_country").splitlines()
ODD_LINES = [
    "",
    "  - x",
    "x: [1",
    "? {a: b}",
    "<<: 1",
    "  version: 1.0",
    "  depends_on: {a: 1}",
    "  depends_on: [1, null]",
    "  replicas: []",
    "  replicas: {gulf: 3}",
    "    key_sha256: [0x10]",
    "regions: null",
    "budget: .nan",
    "limits: {requests_per_s: .inf}",
    "  turns: 2001-01-01",
    "  turns: !!binary x",
    "  turns: 99999999999999999999999999",
    "\t",
    "%YAML 9.9",
    "---",
    "\x00",
]


@settings(max_examples=300, derandomize=True, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.integers(0, len(LINES) - 1),
            st.one_of(st.none(), st.sampled_from(ODD_LINES + LINES)),
        ),
        min_size=1,
        max_size=4,
    )
)
def test_any_edit_is_accepted_or_explained(edits):
    """A traceback instead of a list of faults leaves the operator without a remedy."""
    lines = list(LINES)
    for index, line in edits:
        if line is None:
            lines[index] = ""
        else:
            lines.insert(index, line)
    problems, configuration = check_text("\n".join(lines) + "\n")
    assert bool(problems) != (configuration is not None)
    if configuration is not None:
        parts = split_configuration(configuration)
        assert join_configuration(parts.values()) == configuration
    assert all(problem.expected and problem.remedy for problem in problems)
