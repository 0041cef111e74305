"""Servers: which there are, what answers tell of them, and which one takes a request."""

import math
import zlib

from ashlift.gatekeeper.admission.interface import Effect, KeyScope, Outcome, Probe, Probed, Result, Server
from ashlift.gatekeeper.admission.interface import ServerList, ServerState
from ashlift.gatekeeper.admission.overload import Overload
from ashlift.gatekeeper.admission.state import Attempt, Live, ServerView

SUBSET = 8  # servers that a gateway with little traffic goes by: often enough seen to be judged
COVER = 12  # gateways that go by one server: their uneven traffic evens out over so many
GOLDEN = (5**0.5 - 1) / 2  # steps of so much of a circle come to lie evenly, however many they are
LATENCY_GAIN = 0.15  # weight of one answer in a server's latency ratio: about seven answers
LATENCY_MOST = 0.5  # weight at most: one answer alone does not leave a server out
LATENCY_MS = 10_000.0  # ms in which a judgement grows old: a server seen seldom is judged anew each time
CLASS_GAIN = 0.02  # weight of one answer in a class's usual latency: about fifty answers
SLOWER = 1.5  # x usual latency up to which servers count as alike: single answers vary more than machines
HANG_PASSED = 3  # later attempts that its server has answered meanwhile: an attempt hangs, not its server
LIST_PAUSE_MS = 250.0  # ms, half the pause after a first failed call for the list, doubled each time
SLOWEST_FADE = 0.998  # x, each answer: halves in about 350
SUSPECT_AFTER = 3.0  # x usual latency without any answer: a silent server counts as that slow
LOAD_FADE_MS = 1_000.0  # ms in which a load report loses its meaning
EJECT_RATIO = 3.0  # x a sound server's latency: such a server is left out
EJECT_FAILS = 2  # failed connections, resets or errors in a row that leave a server out
EJECT_MS = 1_000.0  # ms left out at first, doubled each time
EJECT_LONGEST_MS = 8_000.0  # ms
EJECT_SHARE = 0.7  # at most this share of servers is left out for being slow: chance must not empty the list
MUTE_STEP = 0.4  # added to a server's mark for a class that it left unanswered, at most 1
MUTE_COST = 20.0  # x cost of a server with a full mark: taken only when there is no other
COLD_SAFETY = 0.5  # x the rule's multiple: true capacities and the load on the warm servers are not known
PRESSURE_GAIN = 0.06  # weight of one answer in the measure of pressure: about sixteen answers
OVERDUE = 0.5  # x aim: an attempt that ended unanswered after this long tells of a late server
SILENT = (Result.TIMEOUT, Result.CANCELLED)


class Servers(Overload):
    """The servers as this gateway sees them."""

    def _list(self, now: float, event: ServerList) -> bool:
        """Take news of the servers; whether there was any."""
        if event.servers is None:
            # Asked again with growing pauses: a list service that is overwhelmed must not be asked at once.
            self.list_pause = min(EJECT_LONGEST_MS, 2 * self.list_pause)
            self.ask_at = now + self.list_pause if self.settings.subscribe else math.inf
            return False
        self.list_pause, self.ask_at = LIST_PAUSE_MS, math.inf
        if event.complete:
            named = {entry.name for entry in event.servers}
            self.servers = {name: view for name, view in self.servers.items() if name in named}
        for entry in event.servers:
            view = self.servers.get(entry.name)
            if entry.state is ServerState.GONE:
                self.servers.pop(entry.name, None)
            elif view is None:
                self.servers[entry.name] = ServerView(entry, EJECT_MS)
            else:
                if entry.ready_at_ms > view.entry.ready_at_ms:
                    view.out_until, view.fails, view.ratio, view.backoff = -math.inf, 0, 1.0, EJECT_MS
                    view.turn = None
                    self.suspects.pop(entry.name, None)
                view.entry = entry
        self.suspects = {name: view for name, view in self.suspects.items() if name in self.servers}
        self._choose_subset()
        return True

    def _choose_subset(self) -> None:
        """The few servers it goes by, as its traffic can judge no more and as a server holds only so many
        connections: a stretch of one order for all. Stretches begin at steps of the golden section, so that
        any number of gateways cover all servers alike, and a server more or less moves them by one."""
        order = sorted(self.servers.values(), key=lambda view: zlib.crc32(view.entry.name.encode()))
        most = max(SUBSET, math.ceil(COVER * len(order) / self.settings.group_size))
        start = int(self.settings.me * GOLDEN % 1 * len(order))
        self.subset = (order[start:] + order[:start])[:most]

    def _warmth(self, now: float, entry: Server) -> float:
        """Share of its capacity that a server has at least, as the settings promise it."""
        cfg, age = self.settings, max(0.0, now - entry.ready_at_ms)
        if entry.ready_at_ms <= 0 or age >= cfg.cold_ms:
            return 1.0
        return cfg.cold_from + (1 - cfg.cold_from) * age / cfg.cold_ms

    def _pick(self, now: float, live: Live) -> ServerView | None:
        """The server that should answer first: least work out for its capacity, weighed by its latency."""
        best = self._best(now, live, self.subset)
        few = len(self.subset) < len(self.servers) and (best is None or now < best.out_until)
        return self._best(now, live, [*self.servers.values()]) if few else best

    def _best(self, now: float, live: Live, among: list[ServerView]) -> ServerView | None:
        work = self.usual[live.ask.request_class]
        usual = sum(self.usual) / len(self.usual)
        best: ServerView | None = None
        best_cost, best_share, paces = math.inf, 0.0, 0.0
        # What is out here tells the least loaded server only where it is several each: one of many gateways
        # has nothing out at most of them, and all would shun the same cold ones. It goes round them instead:
        # a server's turn moves on by what it is sent at its own pace, the round by that at the pace of all.
        thin = self.mean_out < len(among) * self.unseen / 2
        for view in among:
            entry = view.entry
            if entry.state is not ServerState.READY or not self._may_repeat(now, live, entry):
                continue
            warmth = self._warmth(now, entry)
            pace = entry.size * warmth
            mark = view.mute.get(live.ask.request_class, 0.0)
            if view.turn is None or mark or now < view.out_until:
                # At random within its share, or all gateways would send to one that comes (back) at once.
                view.turn = self.round + work / pace * self.random.random()
            else:  # bounded: what kept it from its turns, or gave it others', is no reason to make up for it
                view.turn = max(self.round - work / 2, min(self.round + 2 * work / pace, view.turn))
                paces += pace
            # All gateways together send a cold server this share of what a warm one gets, however many they
            # are; with nothing but cold ones the rest is refused. One draw serves all attempts.
            if warmth < 1 and live.luck >= self.settings.fall_multiple * COLD_SAFETY * warmth:
                continue
            ratio = max(1.0, view.ratio / self.sound_ratio / SLOWER)
            if view.out:
                ratio = max(ratio, (now - view.heard) / (SUSPECT_AFTER * usual))
            there = view.work + view.load * work
            cost = there / pace + work + view.turn - self.round if thin else (there + work) / pace
            cost *= ratio
            cost *= 1 + 0.02 * self.random.random()
            cost += MUTE_COST * mark * work / pace
            if entry.name in live.tried:
                cost += 1e6
            if now < view.out_until:
                cost += 1e9
            if cost < best_cost:
                best, best_cost, best_share = view, cost, work / pace * ratio
        if thin and best is not None and best.turn is not None:
            best.turn += best_share
            self.round += work / max(1.0, paces)
        return best

    def _may_repeat(self, now: float, live: Live, server: Server | None) -> bool:
        """Whether one more attempt (on this server) cannot make the effect happen twice."""
        cls = self.settings.classes[live.ask.request_class]
        if live.may_run is None or cls.effect is Effect.PURE:
            return True
        if cls.effect is Effect.UNSAFE:
            return False
        first, at = live.may_run
        if now >= at + cls.key_ttl_ms - 2 * self.settings.tick_ms:
            return False
        if server is None or cls.key_scope is KeyScope.ALL:
            return True
        return server.zone == first.zone if cls.key_scope is KeyScope.ZONE else server.cell == first.cell

    def _learn(self, now: float, attempt: Attempt, event: Outcome, flowed: bool) -> None:
        view, kind = attempt.server, attempt.kind
        broke = event.result in (Result.CONNECT_FAILED, Result.RESET, Result.ERROR)
        if broke or (flowed and event.result is Result.TIMEOUT):  # the latter stopped amid a body
            # A server that fails fast looks idle and draws ever more requests, whatever ails it.
            view.fails += 1
            # Where nobody listens, one refusal tells: a gateway that comes by seldom has no second one soon.
            if view.fails >= EJECT_FAILS or event.result is Result.CONNECT_FAILED:
                self._eject(now, view)
        elif event.result in (Result.OK, Result.FULL):
            view.heard, view.fails = now, 0
        if event.load and "busy_reqs" in self.settings.report_fields:
            busy = event.load[self.settings.report_fields.index("busy_reqs")]
            view.load = max(0.0, busy - view.out)
        aim = self.settings.classes[kind].aim_ms
        # Pressure is the fleet's: a server known to be bad or cut off says nothing of the others.
        gain = PRESSURE_GAIN if now >= view.out_until and view.ratio <= 2 * self.sound_ratio else 0.0
        self.answers += gain > 0
        overdue = event.waited_ms >= OVERDUE * aim and event.result in SILENT and attempt.passed < HANG_PASSED
        overdue = overdue and not flowed  # its client may have been what held it up
        if event.result is Result.OK:
            view.mute.pop(kind, None)
            relative = event.waited_ms / max(1.0, self.usual[kind])
            self.slowest[kind] = max(event.waited_ms, SLOWEST_FADE * self.slowest[kind])
            for other in self.attempts.values():
                other.passed += other.server is view and other.at < attempt.at
            self.usual[kind] += CLASS_GAIN * (event.waited_ms - self.usual[kind])
            self._observe(now, view, relative)
            self.pressure += gain * (min(2.0, event.waited_ms / aim) - self.pressure)
        elif event.result is Result.FULL or overdue:
            # Withdrawn at the aim it is as late as a time-out: unheard, overload would look like calm.
            # Marked by class: a server may leave one unanswered and serve the others; with two it is all.
            mark = view.mute.get(kind, 0.0)
            if overdue:
                view.mute[kind] = min(1.0, mark + MUTE_STEP)
            if event.result is Result.FULL or len(view.mute) >= min(2, len(self.usual)):
                self._observe(now, view, 2 * EJECT_RATIO)
            self.pressure += gain * (mark < MUTE_STEP) * (2.0 - self.pressure)

    def _observe(self, now: float, view: ServerView, relative: float) -> None:
        gain = max(LATENCY_GAIN, min(LATENCY_MOST, (now - view.judged) / LATENCY_MS))
        view.judged = now
        view.ratio += gain * (min(relative, 4 * EJECT_RATIO) - view.ratio)
        if view.ratio <= EJECT_RATIO * self.sound_ratio:
            return
        left_out = sum(1 for other in self.subset if now < other.out_until)
        if left_out + 1 <= EJECT_SHARE * len(self.subset):
            self._eject(now, view)
            view.ratio = self.sound_ratio * EJECT_RATIO / 2

    def _eject(self, now: float, view: ServerView) -> None:
        if now >= view.out_until:
            view.out_until = now + view.backoff
            self.suspects[view.entry.name] = view
            view.backoff = min(EJECT_LONGEST_MS, 2 * view.backoff)

    def _probed(self, now: float, event: Probed) -> None:
        view = self.suspects.get(event.server)
        if view and event.result is Result.OK:
            view.out_until, view.fails = now, 0
            del self.suspects[event.server]
        elif view:
            view.out_until = -math.inf
            self._eject(now, view)

    def _return(self, now: float) -> None:
        """Ask suspects whose time is over to come back."""
        for view in [view for view in self.suspects.values() if now >= view.out_until]:
            # Its return is asked for with a probe, not with somebody's request.
            if self.settings.probing:
                view.out_until = now + view.backoff
                self.actions.append(Probe(view.entry.name))
            else:
                del self.suspects[view.entry.name]

    def _tend(self, now: float, dt: float) -> None:
        """Let what is known of all servers grow old."""
        views = self.servers.values()
        fleet = sum(view.entry.size * self._warmth(now, view.entry) for view in views)
        self.limit *= fleet / self.fleet if self.fleet > 0 else 1.0  # a fleet that grows can take more
        self.fleet = fleet
        # Relative to the better quarter: a slow fleet has no slow servers, one cut off has sound ones left.
        ratios = sorted(view.ratio for view in self.subset)
        self.sound_ratio = max(1.0, ratios[len(ratios) // 4]) if ratios else 1.0
        for view in views:
            view.ratio += dt / 10_000 * (1.0 - view.ratio)
            if view.mute:
                view.mute = {kind: mark - dt / LATENCY_MS for kind, mark in view.mute.items() if mark > 0.1}
            view.load *= max(0.0, 1 - dt / LOAD_FADE_MS)  # an old report must not keep us away for good
            if now > view.out_until + EJECT_LONGEST_MS:
                view.backoff = EJECT_MS
