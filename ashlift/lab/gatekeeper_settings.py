"""Settings for the gatekeepers of a lab run. Pure."""

from typing import Any, Final

from ashlift.lab.scenario import Scenario

CATEGORY: Final = "availability-check"
PLAN: Final = "basic"
ZONE: Final = "memphis-dc"
CLIENT_TIMEOUT_MS: Final = 2000.0


def gatekeeper_settings(scenario: Scenario, number: int) -> dict[str, Any]:
    """Return the settings of a gatekeeper; `number` counts from 0."""
    return {
        "Categories": [_category()],
        "Discovery": "automatic",
        "FamilyInfo": {
            "MayCount": True,
            "CountFee": 0.02,
            "CounterTimeoutMs": 30,
            "MaxUnits": 1,
            "MeterMs": 0,
        },
        "GroupSize": scenario.gatekeepers,
        "Me": number,
        "TickMs": 4.0,
        "Zone": 1,
        "Unheard": {"of": 1},
        "Zones": [ZONE],
        "Limits": {
            "Cancel": True,
            "MaxRetryAfterMs": 2000.0,
            "Probing": True,
            "RetryAfter": True,
            "TryLimit": 3,
        },
        "Plans": [_plan(scenario)],
        "Report": {"Fields": [], "Via": "none"},
        "Rules": {"ColdFrom": 0.18, "ColdMs": 17000.0, "FallMultiple": 2.0, "TipAfterMs": 3000.0},
    }


def _category() -> dict[str, Any]:
    return {
        "Name": CATEGORY,
        "Effect": "pure",
        "GiveUpMs": CLIENT_TIMEOUT_MS,
        "TargetMs": 600.0,
        "LateShare": 0.0,
        "Value": 3.0,
    }


def _plan(scenario: Scenario) -> dict[str, Any]:
    return {
        "Name": PLAN,
        "CeilingRate": 0.0,
        "CeilingSlack": 0.0,
        "HardBurst": 0.0,
        "MaxOut": 0,
        "MostAtOnce": scenario.burst,
        "OverWorth": 0.0,
        "OverrunCost": 1.0,
        "Pays": 0.8,
        "QuotaRate": scenario.quota,
    }
