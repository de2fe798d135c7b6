"""Table of programs in aim under bursts, for each order of waiting requests.

Run ``python -m lentilroad.bench.program_table``.
"""

from __future__ import annotations

import statistics

from lentilroad.bench.program_load import (
    CUSTOMERS,
    KINDS,
    Program,
    ProgramLoad,
    rank_by_arrival,
    rank_by_route,
)

BURSTS = [(4.0, 9.0, "long", 2.0), (12.0, 16.0, "short", 2.0), (7.0, 13.0, "hot", 6.0)]
BURSTS_START_S, BURSTS_END_S, END_S = 4.0, 16.0, 30.0
RECOVERY_S = 3.0
SEEDS = (1, 2, 3, 4, 5)
ORDERS = {"arrival": rank_by_arrival, "route": rank_by_route, "programs": None}


def share_in_aim(programs: list[Program]) -> float:
    """Return the share of programs that ended within their time."""
    return sum(program.in_aim() for program in programs) / len(programs)


def figures(load: ProgramLoad) -> list[float]:
    """Return the figures of one run, in the order of the table's columns."""
    programs = load.began_in(BURSTS_START_S, BURSTS_END_S)
    hot = [program for program in programs if program.customer is CUSTOMERS[0]]
    others = [program for program in programs if program.customer is not CUSTOMERS[0]]
    recovered_s = BURSTS_END_S + RECOVERY_S
    return [
        *(
            share_in_aim(load.began_in(BURSTS_START_S, BURSTS_END_S, kind))
            for kind in KINDS
        ),
        share_in_aim(hot),
        share_in_aim(others),
        share_in_aim(load.began_in(BURSTS_END_S, recovered_s)),
        share_in_aim(load.began_in(recovered_s, END_S)),
    ]


def main() -> None:
    """Print the means over the seeds as a Markdown table."""
    print("| order | short | long | hot customer | others | 0 to 3 s after | later |")
    print("|---|---|---|---|---|---|---|")
    for name, rank in ORDERS.items():
        rows = []
        for seed in SEEDS:
            load = ProgramLoad(seed=seed, rank=rank, factors=BURSTS)
            load.run(END_S)
            rows.append(figures(load))
        means = [statistics.mean(column) for column in zip(*rows, strict=True)]
        print(f"| {name} | " + " | ".join(f"{mean:.3f}" for mean in means) + " |")


if __name__ == "__main__":
    main()
