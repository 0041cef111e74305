"""Who imports whom among the system's packages: never upwards, never round, programs never each other."""

import ast
from pathlib import Path

from ward import each, test

ROOT = Path(__file__).parent.parent
MAY: dict[str, set[str]] = {
    "workbench": set(), "jig": {"workbench"}, "gauge": {"mintfront"}, "mitre": {"jig", "workbench"},
    "vise": {"jig", "mitre", "workbench"},
    "pegboard": {"jig", "mitre", "workbench"}, "lathe": {"gauge", "jig", "workbench", "ashlift"},
    "toolbox": {"jig", "workbench", "ashlift"},
}  # fmt: skip
OURS = {*MAY, "mintfront", "ashlift", "ashlift_lab", "dovetail", "trials", "tests", "bench"}


@test("{package} imports no package of ours but those below it")
def _(package: str = each(*MAY)) -> None:
    found: set[str] = set()
    for path in (ROOT / package).rglob("*.py"):
        for one in ast.walk(ast.parse(path.read_text())):
            if isinstance(one, ast.Import):
                found |= {name.name.partition(".")[0] for name in one.names}
            elif isinstance(one, ast.ImportFrom):
                assert not one.level, f"{path}: a relative import"
                found.add(str(one.module).partition(".")[0])
    assert (found & OURS) - {package} <= MAY[package]
