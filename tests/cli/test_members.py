"""The operator's command for members of the store: its plans, made from the leader's table."""

from ward import test

from ashlift.cli.store_member_commands import plan_member_change
from ashlift.errors import Failure
from tests.support.replica_scenarios import membership_table


@test("members command: a plan in words, or why it is refused")
def _() -> None:
    rows = membership_table("members 5", "run 5")
    leader = next(row["ip"] for row in rows if row["leads"])
    steps = plan_member_change(rows, "remove", leader)
    assert isinstance(steps, list)
    assert steps[0] == f"{leader} is the leader, and transfers leadership first"
    assert steps[-1] == "4 voters then, of which 3 must be up"
    assert isinstance(plan_member_change(rows, "remove", "9"), Failure)
    assert isinstance(plan_member_change(rows, "add", "1"), list)
    few = membership_table("members 3", "run 5")
    refused = plan_member_change(few, "remove", "1")
    assert isinstance(refused, Failure)
    assert "2 voters would be left, and 3 are needed" in refused.detail
    assert isinstance(plan_member_change(few, "replace", "1"), list)
