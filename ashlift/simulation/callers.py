"""Operators who always have an order under way, at any core machine, and send again what was taken."""

from typing import Any

from ashlift.simulation.history import ConfigurationChange, Resend
from ashlift.simulation.people import Operator, change, edited, patched
from ashlift.simulation.process import Task

PAUSE_S = (0.4, 1.6)  # between one order and the next, by chance
AGAIN = 0.4  # share of changes that are sent again once they are taken
OLD = 6  # one of so many last changes is sent again
STEPS = 3  # a version is up to so much above the one that it builds on: two may pick the same
WORDS = ("look=desk", "look=fleet", "bill=desk", "bill=bill", "r+{new}=fleet", "q:t1=150", "q:t2=90")


class Caller(Operator):
    """`zone`: the one that it alone empties and takes back; `places`: the machines that it goes to first."""

    zone: str | None = None
    places: list[str] = []
    until = 0.0

    def on_start(self) -> None:
        self._made: list[ConfigurationChange] = []
        self._emptied = False
        self.spawn(self._orders())

    def _first(self) -> str:
        return self.loop.rng.choice(self.places or self.boards)

    def _orders(self) -> Task:
        chance = self.loop.rng
        while self.loop.now < self.until:
            match chance.choice(("put", "patch", "zone", "read", "again")):
                case "put" | "patch" as kind:
                    yield from self._change(kind == "patch")
                case "zone" if self.zone is not None:
                    self._emptied = not self._emptied
                    yield from self.zoned(self.zone, self._emptied, self._first())
                case "again" if self._made:
                    yield from self._resend(chance.choice(self._made[-OLD:]))
                case _:
                    yield from self._read(self._first(), None)
            yield chance.uniform(*PAUSE_S)

    def _change(self, patch: bool) -> Task:
        """One on top of what is read just before: others may do the same."""
        chance = self.loop.rng
        yield from self._read(self._first(), None)
        base = self.history.readings[-1]
        if not base.version:
            return
        version = base.version + chance.randint(1, STEPS)
        word = chance.choice(WORDS).format(new=f"{self.name[-1]}{version}")
        made = change(version, base.version, self.name, edited(base.body, version, [word]), self.loop.now)
        if patch:
            made.patch = patched(base.body, made.body)
        self.history.changes.append(made)
        yield from self.changed(made, self._first())
        if not made.rejected_status:
            self._made.append(made)
            if chance.random() < AGAIN:
                yield from self._resend(made)

    def _resend(self, made: ConfigurationChange) -> Task:
        """One call of what was taken."""
        sent, at = self.loop.now, self._first()
        answer: Any = yield self.call(at, "registry", "order", made.as_command(), 1.0)
        status = answer[0] if isinstance(answer, tuple) else 0
        self.history.resends.append(Resend(made, at, sent, self.loop.now, status))
