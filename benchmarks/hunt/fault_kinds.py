"""The kinds of faults and planned work in campaigns: their fields, modes and machine classes.

The names of kinds, modes and fields are defined by the users' bench. Times are in seconds.
"""

from typing import Final

Range = tuple[float, float]

TARGET_MODES: Final = ("leader", "reader", "seed")  # the target machine
RETURN_MODES: Final = ("meet", "race", "hard", "drain")  # the state of the site when the machine returns
PARTITION_MODES: Final = ("reset", "refuse")  # how connections fail in a partition
SPREAD_MODES: Final = ("across", "all")  # the affected workers
# An entry has at most one mode of each group.
EXCLUSIVE_MODE_GROUPS: Final = (TARGET_MODES, RETURN_MODES, PARTITION_MODES, SPREAD_MODES)
BUSY_MODE: Final = "busy"
AIMED_MODE: Final = "aimed"
CORE: Final = "core"
FRONT: Final = "front"

CLOSING_KINDS: Final = ("power_off_all", "wipe_after_ack", "kill_all")
CLOSING_MODES: Final = ("", "timed", "taken")
AIMED_CLOSING_KIND: Final = "wipe_after_ack"
PLANNED_WORK_KINDS: Final = frozenset(
    {
        "seed_turnover",
        "config_change",
        "config_storm",
        "config_race",
        "big_config",
        "revoke",
        "evacuate",
        "release",
        "scale_out",
        "scale_in",
        "roll_term",
    }
)
WORKER_FAULT_KINDS: Final = ("srv_crash", "srv_grey", "srv_lying_health", "srv_flap")
KINDS_WITHOUT_PLAIN_FORM: Final = ("config_change", "srv_grey", "srv_lying_health")
KINDS_WITH_ERROR_MODE: Final = ("srv_grey", "srv_lying_health")
KINDS_OF_ONE_ZONE: Final = ("cold_return", "evacuate", "zone_loss")
PARTITION_KINDS: Final = ("core_cut", "node_cut")
KINDS_WITH_OWN_GENERAL_MODES: Final = ("answer_lost",)  # modes of the general groups count as their own

_SHARE: Final[Range] = (0.1, 0.3)
_DURATION: Final[Range] = (3.0, 8.0)
FIELD_RANGES: Final[dict[str, dict[str, Range]]] = {
    "hot_tenant": {"x": (4.0, 10.0), "for_s": (4.0, 9.0), "count": (1, 3)},
    "srv_crash": {"share": _SHARE, "for_s": (3.0, 6.0)},
    "srv_grey": {"share": _SHARE, "x": (0.2, 0.6), "for_s": _DURATION},
    "srv_lying_health": {"share": _SHARE, "for_s": _DURATION},
    "srv_flap": {"share": _SHARE, "for_s": _DURATION, "gap_s": (1.0, 2.0)},
    "release": {"share": (0.3, 0.6), "gap_s": (0.5, 1.2)},
    "scale_out": {"share": (0.2, 0.4), "gap_s": (1.0, 3.0)},
    "scale_in": {"share": (0.1, 0.2)},
    "cold_return": {"for_s": (3.0, 5.0)},
    "idle_race": {"share": (0.3, 0.6), "x": (200.0, 500.0), "for_s": _DURATION},
    "answer_lost": {"share": (0.3, 0.6), "x": (0.02, 0.05), "for_s": _DURATION},
    "garble": {"share": (0.3, 0.6), "x": (0.01, 0.03), "for_s": _DURATION},
    "node_kill": {"share": _SHARE, "for_s": (2.0, 6.0)},
    "roll_term": {"share": (0.3, 1.0), "gap_s": (0.7, 1.5)},
    "herd_kill": {"share": (0.4, 0.9), "for_s": (0.5, 3.0)},
    "seed_turnover": {},
    "after_ack_kill": {"count": (1, 1), "for_s": (2.0, 5.0)},
    "after_ack_wipe": {"count": (1, 1), "for_s": (2.0, 5.0)},
    "clock_step": {"share": _SHARE, "x": (1000.0, 4000.0), "for_s": _DURATION},
    "disk_full": {"count": (1, 2), "for_s": _DURATION},
    "zone_loss": {"for_s": _DURATION},
    "core_cut": {"count": (1, 1), "for_s": _DURATION},
    "node_cut": {"share": _SHARE, "for_s": (3.0, 12.0)},
    "config_change": {},
    "config_storm": {"gap_s": (0.1, 0.4), "count": (5, 15)},
    "config_race": {"count": (2, 5), "gap_s": (0.5, 1.5)},
    "big_config": {"count": (100, 400)},
    "revoke": {"count": (1, 4), "gap_s": (0.3, 1.5)},
    "evacuate": {"for_s": (4.0, 9.0)},
}
INTEGER_FIELD: Final = "count"

# General modes that form cells besides the kind's own modes, by kind and machine class.
GENERAL_MODES: Final[dict[tuple[str, str], tuple[str, ...]]] = {
    **{(kind, ""): SPREAD_MODES for kind in WORKER_FAULT_KINDS},
    ("node_kill", CORE): (*TARGET_MODES, *RETURN_MODES),
    ("roll_term", CORE): ("leader", *RETURN_MODES),
    ("herd_kill", CORE): RETURN_MODES,
    ("after_ack_kill", ""): RETURN_MODES,
    ("after_ack_wipe", ""): ("kill", "timed", "taken", *RETURN_MODES),
    ("zone_loss", ""): RETURN_MODES,
    ("core_cut", ""): (*TARGET_MODES, *RETURN_MODES, *PARTITION_MODES),
    ("node_cut", ""): PARTITION_MODES,
    ("clock_step", ""): TARGET_MODES,
    ("disk_full", ""): TARGET_MODES,
}
# Modes that are missing in the kind's line of `fleetbench kinds`.
UNLISTED_MODES: Final = {"roll_term": (BUSY_MODE,)}
MACHINE_CLASSES: Final = {
    "node_kill": (FRONT, CORE),
    "roll_term": (FRONT, CORE),
    "herd_kill": (FRONT, CORE),
}
NO_MACHINE_CLASS: Final = ("",)
EXCLUDED_MODES: Final = {  # pairs of kind and mode, by machine class
    CORE: frozenset({("roll_term", BUSY_MODE)}),
    FRONT: frozenset({("herd_kill", "taken")}),
}
