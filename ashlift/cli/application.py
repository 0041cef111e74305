"""The cleo application with all commands."""

from typing import Final

from cleo.application import Application

from ashlift import __version__
from ashlift.cli import (
    inspect_commands,
    plan_commands,
    route_commands,
    store_member_commands,
    tenant_commands,
)
from ashlift.cli.command import CliCommand

COMMANDS: Final[tuple[type[CliCommand], ...]] = (
    inspect_commands.Check,
    inspect_commands.Status,
    inspect_commands.Members,
    inspect_commands.ConfigShow,
    inspect_commands.ConfigDiff,
    store_member_commands.MembersStore,
    store_member_commands.MembersRemove,
    store_member_commands.MembersReplace,
    store_member_commands.MembersAdd,
    plan_commands.PlanCapacity,
    plan_commands.PlanRollout,
    plan_commands.PlanChange,
    route_commands.RouteEdit,
    route_commands.RouteProposals,
    route_commands.RouteConfirm,
    route_commands.RouteReject,
    route_commands.RouteHistory,
    tenant_commands.TenantPlan,
    tenant_commands.TenantAdd,
    tenant_commands.TenantStatus,
    tenant_commands.TenantRemove,
)


def create_application() -> Application:
    """Return the application with every command registered."""
    application = Application("ashlift.cli", __version__)
    for command in COMMANDS:
        application.add(command())
    return application


def main() -> int:
    """Run the command given in `sys.argv`; return its exit code."""
    return create_application().run()
