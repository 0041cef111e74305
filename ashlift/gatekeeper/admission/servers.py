"""The server list, statistics of each server's answers, and the choice of a server for an attempt."""

import math
import zlib

from ashlift.gatekeeper.admission.interface import AttemptEnded, Effect, KeyScope, Probe, ProbeEnded, Result
from ashlift.gatekeeper.admission.interface import Server, ServerList, ServerState
from ashlift.gatekeeper.admission.overload import OverloadControl
from ashlift.gatekeeper.admission.state import Attempt, PendingRequest, ServerStats

MIN_SUBSET_SERVERS = 8  # that a gateway with little traffic uses: each is seen often enough to be judged
GATEWAYS_PER_SERVER = 12  # gateways that use each server, at least: their uneven traffic evens out
GOLDEN_STEP = (5**0.5 - 1) / 2  # multiples of it, modulo 1, are evenly spread for any number of gateways
MIN_RATIO_GAIN = 0.15  # least weight of one answer in a server's latency ratio
MAX_RATIO_GAIN = 0.5  # below 1, so that a single slow answer does not eject a server
RATIO_FADE_MS = 10_000.0  # in which latency ratios and unanswered scores lose their meaning
USUAL_LATENCY_GAIN = 0.02  # weight of one answer in the usual latency of its class: some fifty count
SLOW_RATIO = 1.5  # x usual latency, up to which servers are alike: answers vary more than machines do
HUNG_LATER_ANSWERS = 3  # of its server to later attempts: then the attempt may be hung, not the server
LIST_RETRY_MS = 250.0  # half the pause after a first failed call for the server list, doubled each time
SLOWEST_DECAY = 0.998  # of the slowest recent latency, with each answer: halves in about 350
SILENT_FACTOR = 3.0  # times the usual latency without an answer, after which a server counts as slower
LOAD_REPORT_FADE_MS = 1_000.0  # in which a load report loses its meaning
EJECTION_RATIO = 3.0  # times the healthy latency ratio, above which a server is ejected
EJECTION_FAILURES = 2  # failures in a row that eject a server
FIRST_EJECTION_MS = 1_000.0  # doubled with each further ejection
MAX_EJECTION_MS = 8_000.0
MAX_EJECTED_RATIO = 0.7  # of the subset, ejected for latency: chance must not empty the list
UNANSWERED_STEP = 0.4  # added to a server's score for a class with each unanswered attempt; at most 1
UNANSWERED_COST_FACTOR = 20.0  # cost at score 1: such a server is used only if there is no other
COLD_LOAD_SAFETY = 0.5  # of the permitted load on cold servers: true capacities are not known
PRESSURE_GAIN = 0.06  # weight of one answer in the pressure
OVERDUE_RATIO = 0.5  # of the target latency, after which an unanswered attempt counts as a late answer
UNANSWERED_RESULTS = (Result.TIMEOUT, Result.CANCELLED)


class ServerSelection(OverloadControl):
    """Keeps the servers' statistics up to date and picks servers by them."""

    def _update_servers(self, now: float, event: ServerList) -> bool:
        """Apply a server list or its changes; False if the call for it failed."""
        if event.servers is None:
            self.list_retry_ms = min(MAX_EJECTION_MS, 2 * self.list_retry_ms)
            self.subscribe_at = now + self.list_retry_ms if self.settings.subscribe_enabled else math.inf
            return False
        self.list_retry_ms, self.subscribe_at = LIST_RETRY_MS, math.inf
        if event.complete:
            listed = {entry.name for entry in event.servers}
            self.servers = {name: stats for name, stats in self.servers.items() if name in listed}
        for entry in event.servers:
            stats = self.servers.get(entry.name)
            if entry.state is ServerState.GONE:
                self.servers.pop(entry.name, None)
            elif stats is None:
                self.servers[entry.name] = ServerStats(entry, FIRST_EJECTION_MS)
            else:
                if entry.ready_at_ms > stats.entry.ready_at_ms:
                    stats.ejected_until, stats.failures_in_row, stats.virtual_time = -math.inf, 0, None
                    stats.latency_ratio, stats.ejection_ms = 1.0, FIRST_EJECTION_MS
                    self.ejected.pop(entry.name, None)
                stats.entry = entry
        self.ejected = {name: stats for name, stats in self.ejected.items() if name in self.servers}
        self._choose_subset()
        return True

    def _choose_subset(self) -> None:
        """Choose the servers that this gateway uses: a run of a shared order, from an evenly spread start."""
        order = sorted(self.servers.values(), key=lambda stats: zlib.crc32(stats.entry.name.encode()))
        even_count = math.ceil(GATEWAYS_PER_SERVER * len(order) / self.settings.gateway_count)
        start = int(self.settings.gateway_index * GOLDEN_STEP % 1 * len(order))
        self.subset = (order[start:] + order[:start])[: max(MIN_SUBSET_SERVERS, even_count)]

    def _warm_ratio(self, now: float, entry: Server) -> float:
        """Available part of a server's capacity while it warms up; it rises linearly to 1."""
        cfg, age = self.settings, max(0.0, now - entry.ready_at_ms)
        if entry.ready_at_ms <= 0 or age >= cfg.warm_up_ms:
            return 1.0
        return cfg.cold_capacity_ratio + (1 - cfg.cold_capacity_ratio) * age / cfg.warm_up_ms

    def _pick_server(self, now: float, pending: PendingRequest) -> ServerStats | None:
        """Pick from the subset, or from all servers if the subset has none that is not ejected."""
        best = self._best_of(now, pending, self.subset)
        widen = len(self.subset) < len(self.servers) and (best is None or now < best.ejected_until)
        return self._best_of(now, pending, [*self.servers.values()]) if widen else best

    def _best_of(self, now: float, pending: PendingRequest, among: list[ServerStats]) -> ServerStats | None:
        work = self.usual_ms[pending.request.request_class]
        usual = sum(self.usual_ms) / len(self.usual_ms)
        best: ServerStats | None = None
        best_cost, best_work, total_pace = math.inf, 0.0, 0.0
        # A gateway with few attempts in flight cannot tell the servers apart by them. It schedules by virtual
        # time (weighted fair queueing): a server's advances with the work sent to it, divided by its pace.
        sparse = self.mean_in_flight < len(among) * self.sparsity / 2
        for stats in among:
            entry = stats.entry
            if entry.state is not ServerState.READY or not self._may_retry(now, pending, entry):
                continue
            warm_ratio = self._warm_ratio(now, entry)
            pace = entry.capacity * warm_ratio
            score = stats.unanswered_scores.get(pending.request.request_class, 0.0)
            if stats.virtual_time is None or score or now < stats.ejected_until:
                # Random, or all gateways would send to a returning server at once.
                stats.virtual_time = self.virtual_time + work / pace * self.random.random()
            else:  # bounded, so that a server's past disadvantage or advantage is not made up for
                latest = min(self.virtual_time + 2 * work / pace, stats.virtual_time)
                stats.virtual_time = max(self.virtual_time - work / 2, latest)
                total_pace += pace
            # Cold servers take only this part of the requests; if all are cold, the rest is refused.
            cold_load = self.settings.cold_load_factor * COLD_LOAD_SAFETY * warm_ratio
            if warm_ratio < 1 and pending.cold_server_draw >= cold_load:
                continue
            ratio = max(1.0, stats.latency_ratio / self.healthy_ratio / SLOW_RATIO)
            if stats.in_flight:
                ratio = max(ratio, (now - stats.last_answer_at) / (SILENT_FACTOR * usual))
            queued = stats.in_flight_ms + stats.other_load * work
            cost = (queued + work) / pace
            if sparse:
                cost = queued / pace + work + stats.virtual_time - self.virtual_time
            cost = cost * ratio * (1 + 0.02 * self.random.random())
            cost += UNANSWERED_COST_FACTOR * score * work / pace
            if entry.name in pending.tried_servers:
                cost += 1e6
            if now < stats.ejected_until:
                cost += 1e9
            if cost < best_cost:
                best, best_cost, best_work = stats, cost, work / pace * ratio
        if sparse and best is not None and best.virtual_time is not None:
            best.virtual_time += best_work
            self.virtual_time += work / max(1.0, total_pace)
        return best

    def _may_retry(self, now: float, pending: PendingRequest, server: Server | None) -> bool:
        """Whether another attempt (at this server) cannot run the request's effect twice."""
        cls = self.settings.classes[pending.request.request_class]
        if pending.first_may_have_run is None or cls.effect is Effect.PURE:
            return True
        if cls.effect is Effect.UNSAFE:
            return False
        first, at = pending.first_may_have_run
        if now >= at + cls.key_ttl_ms - 2 * self.settings.tick_ms:
            return False
        if server is None or cls.key_scope is KeyScope.ALL:
            return True
        return server.zone == first.zone if cls.key_scope is KeyScope.ZONE else server.cell == first.cell

    def _record_result(self, now: float, attempt: Attempt, event: AttemptEnded, was_streaming: bool) -> None:
        stats, kind, result = attempt.server, attempt.request_class, event.result
        failed = result in (Result.CONNECT_FAILED, Result.RESET, Result.ERROR)
        if failed or (was_streaming and result is Result.TIMEOUT):
            # Ejected early: a server that fails fast looks idle and would attract more requests.
            stats.failures_in_row += 1
            if stats.failures_in_row >= EJECTION_FAILURES or result is Result.CONNECT_FAILED:
                self._eject(now, stats)
        elif result in (Result.OK, Result.OVERLOADED):
            stats.last_answer_at, stats.failures_in_row = now, 0
        if event.load_report and "busy_reqs" in self.settings.report_fields:
            busy = event.load_report[self.settings.report_fields.index("busy_reqs")]
            stats.other_load = max(0.0, busy - stats.in_flight)
        target_ms = self.settings.classes[kind].target_latency_ms
        # Pressure describes the whole fleet: unhealthy servers do not count.
        healthy = now >= stats.ejected_until and stats.latency_ratio <= 2 * self.healthy_ratio
        gain = PRESSURE_GAIN if healthy else 0.0
        self.recent_answers += gain > 0
        overdue = event.elapsed_ms >= OVERDUE_RATIO * target_ms and result in UNANSWERED_RESULTS
        overdue = overdue and attempt.later_answers < HUNG_LATER_ANSWERS and not was_streaming
        if result is Result.OK:
            stats.unanswered_scores.pop(kind, None)
            relative = event.elapsed_ms / max(1.0, self.usual_ms[kind])
            self.slowest_ms[kind] = max(event.elapsed_ms, SLOWEST_DECAY * self.slowest_ms[kind])
            for other in self.attempts.values():
                other.later_answers += other.server is stats and other.started_at < attempt.started_at
            self.usual_ms[kind] += USUAL_LATENCY_GAIN * (event.elapsed_ms - self.usual_ms[kind])
            self._update_latency_ratio(now, stats, relative)
            self.pressure += gain * (min(2.0, event.elapsed_ms / target_ms) - self.pressure)
        elif result is Result.OVERLOADED or overdue:
            # Scored by class: a server may answer one class and not another. Two classes count as all.
            score = stats.unanswered_scores.get(kind, 0.0)
            if overdue:
                stats.unanswered_scores[kind] = min(1.0, score + UNANSWERED_STEP)
            if result is Result.OVERLOADED or len(stats.unanswered_scores) >= min(2, len(self.usual_ms)):
                self._update_latency_ratio(now, stats, 2 * EJECTION_RATIO)
            self.pressure += gain * (score < UNANSWERED_STEP) * (2.0 - self.pressure)

    def _update_latency_ratio(self, now: float, stats: ServerStats, relative: float) -> None:
        gain = max(MIN_RATIO_GAIN, min(MAX_RATIO_GAIN, (now - stats.ratio_updated_at) / RATIO_FADE_MS))
        stats.ratio_updated_at = now
        stats.latency_ratio += gain * (min(relative, 4 * EJECTION_RATIO) - stats.latency_ratio)
        if stats.latency_ratio <= EJECTION_RATIO * self.healthy_ratio:
            return
        ejected_count = sum(1 for other in self.subset if now < other.ejected_until)
        if ejected_count + 1 <= MAX_EJECTED_RATIO * len(self.subset):
            self._eject(now, stats)
            stats.latency_ratio = self.healthy_ratio * EJECTION_RATIO / 2

    def _eject(self, now: float, stats: ServerStats) -> None:
        if now >= stats.ejected_until:
            stats.ejected_until = now + stats.ejection_ms
            self.ejected[stats.entry.name] = stats
            stats.ejection_ms = min(MAX_EJECTION_MS, 2 * stats.ejection_ms)

    def _on_probe_ended(self, now: float, event: ProbeEnded) -> None:
        stats = self.ejected.get(event.server)
        if stats and event.result is Result.OK:
            stats.ejected_until, stats.failures_in_row = now, 0
            del self.ejected[event.server]
        elif stats:
            stats.ejected_until = -math.inf
            self._eject(now, stats)

    def _probe_ejected(self, now: float) -> None:
        """Probe the servers whose ejection has expired; without probes, requests try them again."""
        for stats in [stats for stats in self.ejected.values() if now >= stats.ejected_until]:
            if self.settings.probes_enabled:
                stats.ejected_until = now + stats.ejection_ms
                self.actions.append(Probe(stats.entry.name))
            else:
                del self.ejected[stats.entry.name]

    def _age_statistics(self, now: float, elapsed_ms: float) -> None:
        """Scale the limit with the fleet's capacity, and let the servers' statistics fade."""
        servers = self.servers.values()
        capacity = sum(stats.entry.capacity * self._warm_ratio(now, stats.entry) for stats in servers)
        self.in_flight_limit *= capacity / self.fleet_capacity if self.fleet_capacity > 0 else 1.0
        self.fleet_capacity = capacity
        # The best quartile is the standard: a fleet that is slow as a whole has no outliers.
        ratios = sorted(stats.latency_ratio for stats in self.subset)
        self.healthy_ratio = max(1.0, ratios[len(ratios) // 4]) if ratios else 1.0
        for stats in servers:
            stats.latency_ratio += elapsed_ms / 10_000 * (1.0 - stats.latency_ratio)
            if stats.unanswered_scores:
                fade, scores = elapsed_ms / RATIO_FADE_MS, stats.unanswered_scores
                stats.unanswered_scores = {
                    kind: score - fade for kind, score in scores.items() if score > 0.1
                }
            stats.other_load *= max(0.0, 1 - elapsed_ms / LOAD_REPORT_FADE_MS)
            if now > stats.ejected_until + MAX_EJECTION_MS:
                stats.ejection_ms = FIRST_EJECTION_MS
