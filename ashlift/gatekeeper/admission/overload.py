"""Overload control: a limit on attempts in flight, which falls while answers are late."""

import math

from ashlift.gatekeeper.admission.interface import Plan, Request
from ashlift.gatekeeper.admission.state import GatewayState

HIGH_PRESSURE = 0.4  # mean of latency over target latency, above which the fleet is overloaded
INITIAL_LIMIT_PER_SERVER = 4.0  # attempts in flight from all gateways; more is found out step by step
MIN_LIMIT_PER_SERVER = 3.0  # attempts in flight from all gateways together: fewer would leave cores idle
LIMIT_CUT_FACTOR = 0.97  # of the limit, in each step under high pressure: halves in about a second
LIMIT_RISE_PER_SERVER = 0.02  # attempts in each step; additive, so that the gateways' limits converge
SMALL_LIMIT = 10.0  # attempts, below which it holds for the mean in flight: few requests come in bunches
SCATTER_DEVIATIONS = 1.0  # standard deviations of the number in flight that are allowed above the limit
MEAN_VALUE_GAIN = 0.02  # weight of one request in the mean value


class OverloadControl(GatewayState):
    """Adapts the limit on attempts in flight and applies it to requests."""

    def _is_overloaded(self, request: Request, plan: Plan) -> bool:
        """Whether the attempts in flight fill the limit, which is higher for requests of more value."""
        cls, usual_ms = self.settings.classes[request.request_class], self.usual_ms[request.request_class]
        value = cls.value * plan.price * request.units / max(1.0, usual_ms)
        self.mean_value += MEAN_VALUE_GAIN * (value - self.mean_value)
        rank = value / (value + self.mean_value) if value > 0 else 0.0
        gain = min(1.0, self.in_flight_limit / SMALL_LIMIT)
        self.mean_in_flight += gain * (self.in_flight - self.mean_in_flight)
        # The root of the mean, unless under pressure: without it, many gateways would reject what has room.
        calm = max(0.0, 1 - self.pressure / HIGH_PRESSURE)
        scatter = SCATTER_DEVIATIONS * calm * self.sparsity * math.sqrt(max(0.0, self.in_flight_limit))
        ranked_limit = self.in_flight_limit * (0.75 + 0.5 * rank)
        return self.in_flight_limit > 0 and self.mean_in_flight >= ranked_limit + scatter

    def _adapt_limit(self) -> None:
        servers_each = len(self.servers) / self.settings.gateway_count
        if self.in_flight_limit <= 0:
            self.in_flight_limit = INITIAL_LIMIT_PER_SERVER * servers_each
        elif self.pressure > HIGH_PRESSURE:
            # Cut only on new answers, which are rare with few in flight: cuts on old ones would go too deep.
            cut = LIMIT_CUT_FACTOR if self.recent_answers else 1.0
            lowered = min(self.in_flight_limit, self.mean_in_flight) * cut
            self.in_flight_limit = max(MIN_LIMIT_PER_SERVER * servers_each, lowered)
        elif self.mean_in_flight > 0.7 * self.in_flight_limit:
            self.in_flight_limit += LIMIT_RISE_PER_SERVER * servers_each
        self.recent_answers = 0
