"""`tenant plan`, `add`, `status`, `remove`: a tenant comes and goes whole, at one version."""

from typing import Any

from attrs import frozen
from cleo.helpers import argument, option

from ashlift.cli import changing, showing, sources, tenants
from ashlift.cli.base import DIFFERENT, Tool, entries
from ashlift.cli.tenants import TENANTS, Held, Standing
from ashlift.config import operator_config
from ashlift.config.routing_table import RoutingTable
from ashlift.errors import Failure, FailureReason

ADDRESS = argument("address", "A Control address, such as 10.0.0.4:8200.")
FILE = argument("file", "JSON: the tenant, with its routes and services if it brings any, as Objects.")
NAME = argument("name", "The tenant's name.")
DRAIN_MOST = 30.0  # s that requests under way get at most before a tenant goes


@frozen
class Plan:
    """A file held against what is in force: the call, and what it would change."""

    if_match: str
    body: dict[str, Any]
    names: list[str]  # of its tenants
    changes: list[str]  # the first is that of the version
    doubts: list[str]
    now: Standing


def planned(address: str, file: str) -> Plan | list[Failure]:
    before = entries(address)
    if isinstance(before, list):
        return before
    data = sources.read_file(file)
    body = data if isinstance(data, Failure) else sources.parse_json(data, file)
    objects = body if isinstance(body, Failure) else tenants.upsert(body, file)
    if isinstance(objects, Failure):
        return [objects]
    if_match, patch = tenants.change(before, objects)
    faults = operator_config.validate_change(before, "patch", patch)
    if faults:
        return [Failure(one.reason, f"{file}: {one.detail}") for one in faults]
    change = operator_config.apply_change(before, "patch", if_match, patch)
    now = changing.look(address)
    if isinstance(change, Failure) or isinstance(now, Failure):
        return [one for one in (change, now) if isinstance(one, Failure)]
    after = {key: value for key, value in before.items() if key not in change.removed_keys} | change.entries
    changes, doubts = showing.differences(before, after), tenants.doubts(after, objects, now)
    return Plan(if_match, patch, tenants.names(objects), changes, doubts, now)


class _Tenant(Tool):
    def holders(self, now: Standing, late: list[Held]) -> list[str]:
        """Who is in touch, and what each holds."""
        rows = [
            {
                "node": one.node,
                "zone": one.zone,
                "region": one.region,
                "ready": one.ready,
                "holds": "not known"
                if one.index is None
                else f"index {one.index}"
                if one in late
                else now.version,
                "heard": one.heard,
            }
            for one in now.gatekeepers
        ]
        silent = [f"no answer from core machine {place}" for place in now.silent]
        return [*showing.table(["node", "zone", "region", "ready", "holds", "heard"], rows), *silent]

    def put(self, address: str, if_match: str, body: dict[str, Any], what: str) -> int:
        """Send a change, and tell who holds it. 0: all in touch; 1: acknowledged, and some do not yet."""
        version = body["ConfigVersion"]
        fault = changing.send(address, if_match, body)
        if fault is not None:
            return self.fail([fault])
        self.tell([f"{what}: acknowledged as version {version}"])
        found = changing.settled(address, version)
        if isinstance(found, Failure):
            return self.fail([Failure(found.reason, f"who holds it is not known: {found.detail}")])
        now, late = found
        count = len(now.gatekeepers)
        self.tell([f"held by {count - len(late)} of {count} gatekeepers in touch"])
        if late:
            self.tell(self.holders(now, late))
        return DIFFERENT if late else 0


class TenantPlan(_Tenant):
    name = "tenant plan"
    description = "What a file with a tenant would change, what is doubtful in it, and who is in touch."
    arguments = [ADDRESS, FILE]

    def handle(self) -> int:
        plan = planned(self.argument("address"), self.argument("file"))
        if isinstance(plan, list):
            return self.fail(plan)
        now, late = plan.now, plan.now.behind(plan.now.index)
        self.tell([*plan.changes, *(f"doubtful: {one}" for one in plan.doubts)])
        self.tell([f"in touch: {len(now.gatekeepers)} gatekeepers, {len(late)} behind version {now.version}"])
        return self.tell(self.holders(now, late))


class TenantAdd(_Tenant):
    name = "tenant add"
    description = "Put what `tenant plan` shows in force, and wait until all gatekeepers in touch hold it."
    arguments = [ADDRESS, FILE]
    options = [option("doubtful", None, "Go on although something is doubtful.", flag=True)]

    def handle(self) -> int:
        address = self.argument("address")
        plan = planned(address, self.argument("file"))
        if isinstance(plan, list):
            return self.fail(plan)
        if plan.doubts and not self.option("doubtful"):
            return self.fail(
                [
                    Failure(FailureReason.INVALID, f"doubtful (--doubtful goes on): {one}")
                    for one in plan.doubts
                ]
            )
        if len(plan.changes) == 1:
            return self.tell([f"nothing to change: version {plan.if_match} has it all"])
        return self.put(address, plan.if_match, plan.body, ", ".join(plan.names))


class TenantStatus(_Tenant):
    name = "tenant status"
    description = "A tenant as it is in force, and which gatekeeper holds which version."
    arguments = [ADDRESS, NAME]

    def handle(self) -> int:
        address, name = self.argument("address"), self.argument("name")
        found = entries(address)
        if isinstance(found, list):
            return self.fail(found)
        now = changing.look(address)
        if isinstance(now, Failure):
            return self.fail([now])
        tenant = RoutingTable.from_entries(found).tenants.get(name)
        late = now.behind(now.index)
        word = tenants.told(tenant) if tenant else "is in no configuration that is in force"
        version = operator_config.current_version(found)
        self.tell([f"{name}: {word}", f"version {version}, index {now.index}", *self.holders(now, late)])
        return DIFFERENT if late or tenant is None else 0


class TenantRemove(_Tenant):
    name = "tenant remove"
    description = "Take a tenant's keys away, let its requests under way end, and then take it away."
    arguments = [ADDRESS, NAME]

    def handle(self) -> int:
        address, name = self.argument("address"), self.argument("name")
        found = entries(address)
        if isinstance(found, list):
            return self.fail(found)
        if TENANTS + name not in found:
            return self.fail(
                [Failure(FailureReason.INVALID, f"{name}: is in no configuration that is in force")]
            )
        if found[TENANTS + name].get("ApiKeys"):
            if_match, body = tenants.change(found, [tenants.keyless(found, name)])
            code = self.put(address, if_match, body, f"{name} without keys")
            if code:
                self.tell([f"{name} is still there, without keys: the same command goes on from here"])
                return code
            found = entries(address)
            if isinstance(found, list):
                return self.fail(found)
            if found.get(TENANTS + name, {}).get("ApiKeys") != []:
                return self.fail(
                    [Failure(FailureReason.INVALID, f"{name}: somebody else has changed it meanwhile")]
                )
        routes = RoutingTable.from_entries(found).routes.values()
        drain = min(DRAIN_MOST, max((route.timeout or DRAIN_MOST for route in routes), default=0.0))
        self.tell([f"drains for {drain:g} s, the longest timeout of a route"])
        changing.pause(drain)
        if_match, body = tenants.change(found, [], [name])
        return self.put(address, if_match, body, f"{name} taken away")
