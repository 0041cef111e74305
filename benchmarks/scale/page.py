"""Tables and charts of docs/CAPACITY.md from the JSON of a run. Nothing is measured here.

A table stands in the page between `<!-- scale: NAME -->` and `<!-- end -->`.
"""

import math
import re
from collections.abc import Iterator
from pathlib import Path
from typing import Any, Final

from benchmarks.scale.fit import line
from benchmarks.scale.reckoned import Cores, Model, limits
from benchmarks.scale.target import CORE, GATEKEEPER_BYTES, GATEKEEPER_CORE, GATEKEEPER_MB, TARGET

Json = dict[str, Any]
Row = list[str]
FEW: Final = "few objects"
_MARK: Final = re.compile(r"(<!-- scale: ([a-z ]+) -->\n).*?(<!-- end -->)", re.DOTALL)


def shown(value: float | None) -> str:
    """Three figures."""
    if value is None or not math.isfinite(value):
        return "-"
    if value == 0:
        return "0"
    digits = max(0, 2 - math.floor(math.log10(abs(value))))
    return (
        f"{value:,.{min(digits, 4)}f}"
        if abs(value) < 1000
        else f"{round(value, -math.floor(math.log10(abs(value))) + 2):,.0f}"
    )


def table(head: Row, rows: list[Row]) -> str:
    lines = [head, ["---"] * len(head), *rows]
    return "\n".join("| " + " | ".join(cells) + " |" for cells in lines) + "\n"


GROWS: Final = (  # what a figure grows with, by the beginning of its name; the first that fits
    ("registry: pull in", ""),
    ("client:", "gatekeepers"),
    ("registry: gatekeepers at the busiest", ""),
    ("registry: a tick", "workers"),
    ("registry: of that, all workers", "workers"),
    ("registry: the same compressed", "workers"),
    ("gatekeeper: memory of workers", "workers"),
    ("gatekeeper: a request let in", ""),
    ("store: a change to a follower", ""),
    ("registry: answer, nothing new, bytes", ""),
    ("", "tenants"),
)


def _grows(name: str) -> str:
    return next(what for start, what in GROWS if name.startswith(start))


def cores_table(found: Json, role: str) -> str:
    """Of one role: each figure at each size, and its line."""
    cores = Cores(found["cores"])
    rows = []
    for name in cores.names():
        if not name.startswith(role):
            continue
        what = _grows(name)
        cells = [name.removeprefix(role).lstrip(": "), *(shown(cores.at(name, size)) for size in cores.sizes)]
        if what:
            fitted = cores.by(name, what)
            cells += [
                f"{shown(fitted.at_0)} + {shown(1000 * fitted.slope)} per 1,000 {what}",
                f"{100 * fitted.off:.0f}%",
            ]
        else:
            cells += ["does not grow", "-"]
        rows.append([*cells, f"{100 * cores.spread(name):.0f}%"])
    head = ["what", *(f"{size:,}" for size in cores.sizes), "line", "farthest point", "spread"]
    return table(head, rows)


def entries_table(found: Json) -> str:
    """What grows with the entries that one message carries."""
    cores, rows = Cores(found["cores"]), []
    for name, per in (
        ("registry: taking a pull, ms", "counts told"),
        ("registry: answer with sums, ms", "entries"),
        ("registry: answer with sums, bytes", "entries"),
        ("registry: swap told, ms", "entries"),
        ("registry: swap told, bytes", "entries"),
        ("gatekeeper: a pull with sums, ms", "entries"),
    ):
        told = name.startswith("gatekeeper")  # at larger sizes, lost in what a pull takes with nothing new
        for size in cores.sizes[:1] if told else (cores.sizes[0], cores.sizes[-1]):
            one = cores.entries(name, size)
            rows.append(
                [
                    name,
                    f"{size:,}",
                    f"{shown(one.at_0)} + {shown(1000 * one.slope)} per 1,000 {per}",
                    f"{100 * one.off:.0f}%",
                    f"{one.most:,.0f}",
                ]
            )
    return table(["what", "size", "line", "farthest point", "largest measured"], rows)


def limits_table(found: Json) -> str:
    cores = Cores(found["cores"])
    rows = []
    for what, unit, limit, largest, value, how in limits(found):
        at = cores.crosses(value, limit)
        rows.append(
            (
                at if at is not None else math.inf,
                [
                    what,
                    f"{shown(limit)} {unit}".strip(),
                    shown(largest),
                    f"{shown(largest / limit)} x",
                    "not up to 1,700"
                    if at is None
                    else f"{at:,.0f}" + (" (below the smallest measured)" * (at < cores.sizes[0])),
                    how,
                ],
            )
        )
    rows.sort(key=lambda row: row[0])
    head = [
        "what, as it stands",
        "limit",
        f"at {cores.sizes[-1]:,}",
        "of the limit",
        "breaks at gatekeepers",
        "how",
    ]
    return table(head, [row for _, row in rows])


def _runs(found: Json, kinds: str = "") -> Iterator[tuple[str, str, Json]]:
    """Kind, size and run of all kinds that begin so, trials behind."""
    for kind, sizes in found["run"].items():
        if isinstance(sizes, dict) and kind.startswith(kinds):
            yield from ((kind, size, one) for size, one in sizes.items())


def _calm(one: Json) -> Json:
    """The window with nothing to tell: before all that befalls the run, where it has one of these."""
    found: Json = one.get("calm") or next(iter(one.get("windows", [])), {})
    return found


def processes_table(found: Json) -> str:
    """Few objects: what gatekeepers alone cost, nothing new to tell."""
    rows, points = [], dict[str, list[tuple[float, float]]]()
    for kind, size, one in _runs(found, FEW):
        if not _calm(one):
            rows.append([kind, f"{int(size):,}", "; ".join(one["broken"]) or "-", *[""] * 10])
            continue
        idle = _calm(one)
        registry, store, gate = idle["registry"], idle["configstore"], idle.get("proxy", {})
        pulls = idle["gatekeepers"]["pulls_s"]
        hollow = idle["hollow"]["kinds"].get("pull", {})
        hosts, count = idle["hollow"]["processes"], one["size"]["gatekeepers"] - one["real"]
        sent, received = (hollow.get(key, 0.0) * hosts / count for key in ("sent_s", "received_s"))
        each = one["size"]["gatekeepers"] / one["core"]
        for name, value in (("core", registry["core"]), ("mb", registry["mb"]), ("files", registry["files"])):
            points.setdefault(name, []).append((each, value))
        rows.append(
            [
                kind,
                f"{int(size):,}",
                str(one["core"]),
                shown(pulls / count),
                shown(sent),
                shown(received),
                shown(registry["core"]),
                shown(1000 * registry["core"] / (pulls / one["core"])),
                shown(registry["mb"]),
                shown(registry["files"]),
                shown(store["core"]),
                shown(gate.get("core")),
                f"{shown(idle['gatekeepers']['wait_ms'])} / {shown(idle['gatekeepers']['longest_ms'])}",
            ]
        )
    head = [
        "run",
        "gatekeepers",
        "core machines",
        "pulls/s of one",
        "its bytes/s out",
        "in",
        "registry: cores",
        "ms a pull, beats in it",
        "MB",
        "files",
        "store: cores",
        "a real gatekeeper: cores",
        "pull, ms: mean / longest",
    ]
    lines = []
    for name, each_ in points.items():
        if len({x for x, _ in each_}) > 1:
            one_ = line(each_)
            lines.append(
                f"registry {name}: {shown(one_.at_0)} + {shown(one_.slope * 100)} per 100 gatekeepers "
                f"(farthest point {100 * one_.off:.0f}%, {len(each_)} sizes, largest {one_.most:,.0f}; "
                f"at {TARGET.gatekeepers / CORE:,.0f} of its own {shown(one_.at(TARGET.gatekeepers / CORE))})"
            )
    return table(head, rows) + "\n" + "\n".join(f"- {one}" for one in lines) + "\n"


def events_table(found: Json) -> str:
    """Few objects: a start in turn, a change, workers that restart, a core machine lost."""
    rows = []
    for kind, size, one in _runs(found, FEW):
        start, change, loss, churn = (one.get(key) or {} for key in ("start", "change", "loss", "churn"))
        more = ""
        if churn and _calm(one):
            count = one["size"]["gatekeepers"] - one["real"]
            hosts = churn["hollow"]["processes"]
            extra = (
                churn["hollow"]["kinds"]["pull"]["received_s"]
                - _calm(one)["hollow"]["kinds"]["pull"]["received_s"]
            )
            more = shown(extra * hosts / count / churn["rate"]) if extra > 0 else "not seen"
        rows.append(
            [
                kind,
                f"{int(size):,}",
                str(one["core"]),
                shown(one.get("core_up_s")),
                f"{shown(start.get('half_s'))} / {shown(start.get('all_s'))}",
                shown(change.get("s")),
                f"{shown(change.get('half_s'))} / {shown(change.get('all_s'))}",
                more,
                shown(churn.get("registry", {}).get("core")),
                shown(loss.get("oldest_proof_s")),
                shown(loss.get("all_fresh_again_s")),
                shown(loss.get("pulls_missed")),
            ]
        )
    head = [
        "run",
        "gatekeepers",
        "core machines",
        "core up, s",
        "a gatekeeper ready, s: half / last",
        "change: acknowledged, s",
        "in force, s: half / all",
        "bytes a gatekeeper a restart of a worker",
        "registry: cores at 5 restarts/s",
        "loss of the leader's machine: oldest proof, s",
        "all fresh, s after",
        "pulls missed",
    ]
    return table(head, rows)


def rates_table(found: Json) -> str:
    """Sums: what tenants' counts cost, by size and share of the requests in proportion."""
    rows = []
    for kind, size, one in _runs(found):
        for window in one.get("windows", []):
            told, count = window["gatekeepers"], one["size"]["gatekeepers"] - one["real"]
            hosts, hollow = window["hollow"]["processes"], window["hollow"]["kinds"].get("pull", {})
            rows.append(
                [
                    kind,
                    f"{int(size):,}",
                    f"{window['rate']:g}",
                    shown(told["entries_s"] / max(1.0, told["pulls_s"])),
                    shown(hollow.get("received_s", 0.0) * hosts / count),
                    shown(window["registry"]["core"]),
                    shown(window["registry"]["core_most"]),
                    shown(window["hollow"]["core_most"]),
                    shown(told["wait_ms"]),
                    shown(told["missed_s"]),
                    f"{told['ready']} of {count}",
                    "none" if told["proof_age_s"] >= 1e6 else shown(told["proof_age_s"]),
                ]
            )
    head = [
        "run",
        "gatekeepers",
        "x the requests",
        "entries a pull",
        "bytes/s in, a gatekeeper",
        "registry: cores, mean",
        "busiest",
        "busiest hollow process",
        "a pull, ms",
        "missed a second",
        "ready",
        "oldest proof, s",
    ]
    return table(head, rows)


def broken_table(found: Json) -> str:
    rows = []
    for kind, size, one in _runs(found):
        start = one.get("start") or {}
        puts = "; ".join(
            f"{put['tenants']:,} tenants: {put['status'] or 'no answer'} in {put['s']} s"
            for put in one.get("puts", [])
        )
        ready = f"{start.get('ready', '-')} of {start.get('wanted', '-')}, last {shown(start.get('all_s'))} s"
        again = (
            f"{shown(one['recovered_s'])} s"
            if one.get("recovered_s") is not None
            else ("no" if "recovered_s" in one else "-")
        )
        rows.append(
            [
                kind,
                f"{int(size):,}",
                puts,
                ready,
                "; ".join(one["broken"]) or "nothing",
                again,
                f"{one['load_before']:.0f}, {one['load_after']:.0f}",
            ]
        )
    return table(
        [
            "run",
            "gatekeepers",
            "configuration",
            "ready at the start",
            "what broke",
            "ready again without load",
            "load of the machine, 16 cores",
        ],
        rows,
    )


def compare_table(found: Json) -> str:
    rows = []
    for size, one in found["compare"]["by size"].items():
        for key, what in (
            ("segments_s", "calls a second"),
            ("sent_s", "bytes/s out"),
            ("received_s", "bytes/s in"),
        ):
            cells = [shown(one["real"][key]), shown(one["hollow"][key]), shown(one["ratio"][key])]
            rows.append([size, what, *cells])
        for key, what in (("sent_s", "bytes a call out"), ("received_s", "bytes a call in")):
            each = [one[side][key] / (one[side]["segments_s"] or 1.0) for side in ("real", "hollow")]
            rows.append([size, what, *map(shown, each), shown(each[1] / each[0] if each[0] else None)])
        rows.append([size, "processor, cores", shown(one["real"]["core"]), "", ""])
    return table(["gatekeepers", "of one", "real", "hollow", "hollow / real"], rows)


def measured_line(found: Json) -> str:
    told = [
        f"`{part}` {one['at']} UTC, sources {one['sources']}, Python {one['python']}, {one['cores']} cores, "
        f"load at its end {', '.join(map(str, one['load']))}"
        for part in ("cores", "compare", "run")
        if (one := found.get(part))
    ]
    return "\n".join(f"- {one}" for one in told) + "\n"


def tables(found: Json) -> dict[str, str]:
    """Name -> markdown, of the parts that were measured."""
    made = {"measured": measured_line(found)}
    if "cores" in found:
        made |= {role: cores_table(found, role) for role in ("gatekeeper", "registry", "store", "client")}
        made |= {"entries": entries_table(found), "limits": limits_table(found)}
    if "run" in found:
        made |= {
            "processes": processes_table(found),
            "events": events_table(found),
            "rates": rates_table(found),
            "broken": broken_table(found),
        }
    if "compare" in found:
        made["compare"] = compare_table(found)
    return made


def filled(text: str, made: dict[str, str]) -> str:
    """The page with its tables made anew. ValueError: it asks for one that there is not."""
    wanted = {one.group(2) for one in _MARK.finditer(text)}
    if wanted - set(made):
        raise ValueError(f"no table {', '.join(sorted(wanted - set(made)))}")
    return _MARK.sub(lambda one: one.group(1) + made[one.group(2)] + one.group(3), text)


def charts(found: Json, folder: Path) -> None:
    import matplotlib

    matplotlib.use("Agg")
    matplotlib.rcParams["svg.hashsalt"] = "scale"
    from matplotlib import pyplot

    cores = Cores(found["cores"])
    figure, axes = pyplot.subplots(1, 2, figsize=(10, 4))
    model = Model(cores)
    for value, limit, label in (
        (model.gatekeeper_core, GATEKEEPER_CORE, "gatekeeper's processor"),
        (model.gatekeeper_mb, GATEKEEPER_MB, "gatekeeper's memory"),
        (model.gatekeeper_bytes, GATEKEEPER_BYTES, "gatekeeper's bytes"),
        (model.registry_core, 1.0, "registry's processor"),
    ):
        axes[0].plot(cores.sizes, [value(size) / limit for size in cores.sizes], marker="o", label=label)
    axes[0].axhline(1.0, color="black", linewidth=0.8)
    axes[0].set(
        xscale="log",
        yscale="log",
        xlabel="gatekeepers, all in proportion",
        ylabel="x the limit",
        title="As it stands",
    )
    axes[0].legend(fontsize=8)
    few = [
        (int(size), one["windows"])
        for kind, size, one in (_runs(found, FEW) if "run" in found else ())
        if kind == FEW and one.get("windows")
    ]
    for rate in sorted({window["rate"] for _, windows in few for window in windows}):
        points = [
            (size, window["registry"]["core"])
            for size, windows in few
            for window in windows
            if window["rate"] == rate
        ]
        axes[1].plot(*zip(*points, strict=True), marker="o", label=f"{rate:g} x the requests")
    axes[1].set(
        xscale="log",
        xlabel="gatekeepers, three registries",
        ylabel="cores of one registry",
        title="Few objects",
    )
    if few:
        axes[1].legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(folder / "scale.svg", metadata={"Date": None})
    pyplot.close(figure)


def write(found: Json, docs: Path) -> int:
    page = docs / "CAPACITY.md"
    page.write_text(filled(page.read_text(), tables(found)))
    if "cores" in found:
        charts(found, docs / "capacity")
    return 0
