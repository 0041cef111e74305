"""Overload: how much work may be out at once, found out from how late the answers come."""

import math

from ashlift.gatekeeper.admission.interface import Plan, Request
from ashlift.gatekeeper.admission.state import Desk

PRESSED = 0.4  # mean latency over aim: above this, many of the answers come too late
START_EACH = 4.0  # attempts a server, all gateways together, at the start: more is found out step by step
FLOOR_EACH = 3.0  # attempts a server, all gateways together, that stay allowed: less would idle its cores
LIMIT_CUT = 0.97  # x, each step under pressure: halves in about a second
LIMIT_RISE = 0.02  # attempts a server, each step without pressure: added, so that gateways even out
POOL = 10.0  # attempts out: a limit below it is held on average only, for a few requests come in bunches
SCATTER = 1.0  # x the root of a mean: all but a few of a hundred moments lie below
VALUE_GAIN = 0.02  # weight of one request in the mean value


class Overload(Desk):
    """The limit on attempts out, and the pressure that moves it."""

    def _pressed(self, ask: Request, plan: Plan) -> bool:
        """Whether attempts out fill the limit that answers in time; more worth for its work may fill more."""
        cls = self.settings.classes[ask.request_class]
        value = cls.worth * plan.price * ask.units / max(1.0, self.usual[ask.request_class])
        self.mean_value += VALUE_GAIN * (value - self.mean_value)
        rank = value / (value + self.mean_value) if value > 0 else 0.0
        # A small share of the fleet is a limit of less than one: the mean over arrivals stands for it then.
        self.mean_out += min(1.0, self.limit / POOL) * (self.out - self.mean_out)
        # And its share is a mean: what is out of it at a moment scatters by the root. Only under pressure is
        # the scatter held down too, or forty gateways would turn away work that the fleet has room for.
        calm = max(0.0, 1 - self.pressure / PRESSED)
        scatter = SCATTER * calm * self.unseen * math.sqrt(max(0.0, self.limit))
        return self.limit > 0 and self.mean_out >= self.limit * (0.75 + 0.5 * rank) + scatter

    def _adapt(self) -> None:
        """Move the limit by one step."""
        each = len(self.servers) / self.settings.group_size
        if self.limit <= 0:
            self.limit = START_EACH * each
        elif self.pressure > PRESSED:
            # Paced by answers: with few out, news is rare, and cuts on old news would go far too deep.
            cut = LIMIT_CUT if self.answers else 1.0
            self.limit = max(FLOOR_EACH * each, min(self.limit, self.mean_out) * cut)
        elif self.mean_out > 0.7 * self.limit:
            self.limit += LIMIT_RISE * each
        self.answers = 0
