"""The `members` commands: plans made from the leader's table of members."""

from ward import test

from ashlift.cli.store_member_commands import plan_member_change
from ashlift.errors import Failure
from tests.support.replica_scenarios import membership_table


@test("members command: the plan of a change, or the reason for its rejection")
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
    rejected = plan_member_change(few, "remove", "1")
    assert isinstance(rejected, Failure)
    assert "2 voters would be left, and 3 are needed" in rejected.detail
    assert isinstance(plan_member_change(few, "replace", "1"), list)
