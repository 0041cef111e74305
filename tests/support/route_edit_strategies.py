"""Hypothesis strategies for route edits."""

from hypothesis import settings
from hypothesis import strategies as some

from ashlift.route_reconciliation.edit_sets import join_edits
from ashlift.route_reconciliation.edits import RouteEdit
from ashlift.route_reconciliation.hybrid_clock import HybridTimestamp
from tests.support.route_edits import BASE, route

quick = settings(max_examples=80, deadline=None, derandomize=True, database=None)
specifications = some.sampled_from([None, route("a"), route("b"), route("c")])
timestamps = some.builds(HybridTimestamp, some.integers(1, 6), some.integers(0, 1), some.sampled_from("pq"))
edits = some.builds(
    lambda name, specification, timestamp, automatic: RouteEdit(
        f"{name}{timestamp}",
        name,
        specification,
        BASE.get(f"Routes/{name}"),
        "00000001",
        timestamp,
        "w",
        timestamp.node,
        automatic,
    ),
    some.sampled_from("xyz"),
    specifications,
    timestamps,
    some.just(True) | some.booleans(),
)
edit_sets = some.lists(edits, max_size=6).map(lambda drawn: join_edits(*({edit.id: edit} for edit in drawn)))
