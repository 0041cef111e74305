"""The one greenlet that owns the decision module: messages in by the queue, actions out by the ports."""

import logging
from typing import TYPE_CHECKING, Any, assert_never

from gevent.queue import SimpleQueue

from ashlift.gatekeeper.admission import interface as i
from ashlift.gatekeeper.admission.control import Gateway
from ashlift.gatekeeper.jobs import (
    Answer,
    BodyBegun,
    ClaimEnded,
    Clock,
    Command,
    Counter,
    Delivered,
    HandsWritten,
    Headed,
    Job,
    Left,
    Message,
    Nodes,
    Verdict,
)
from ashlift.gatekeeper.metrics import Metrics
from ashlift.gatekeeper.operations.statsd_metrics import Gauges, outcome_counter

if TYPE_CHECKING:
    from ashlift.gatekeeper.operations.admin_handler import AdminHandler

log = logging.getLogger("ashlift.owner")


class Owner:
    """Feeds the Gateway in order and does what it says. Nothing else touches the Gateway."""

    def __init__(
        self, gateway: Gateway, clock: Clock, metrics: Metrics, classes: tuple[str, ...] = ()
    ) -> None:
        self._gateway, self._clock, self._metrics = gateway, clock, metrics
        self._classes = classes or tuple(str(kind) for kind in range(len(gateway.settings.classes)))
        self._operator: AdminHandler | None = None
        self.inbox: SimpleQueue[Message] = SimpleQueue()
        self._jobs: dict[int, Job] = {}  # those that are owed an answer
        self._timers: dict[int, Any] = {}  # kept alive until they ring
        self._next = 1
        self._nodes: Nodes | None = None
        self._counter: Counter | None = None

    def connect(
        self, nodes: Nodes | None, counter: Counter | None, operator: "AdminHandler | None" = None
    ) -> None:
        """Name the ports; they in turn were given the inbox. `operator` answers the door's calls."""
        self._nodes, self._counter, self._operator = nodes, counter, operator

    @property
    def owed(self) -> int:
        """Jobs taken and not answered yet, those still in the queue included."""
        return len(self._jobs) + sum(isinstance(item, Job) for item in self.inbox.queue)

    def run(self) -> None:
        """Take messages for ever."""
        while True:
            self.take(self.inbox.get())

    def close(self) -> None:
        """Let no timer ring any more."""
        for timer in self._timers.values():
            timer.close()
        self._timers.clear()

    def take(self, message: Message) -> None:
        """Handle one message. A fault of the module costs the job it struck an answer, not the others."""
        try:
            actions = self._feed(message)
        except Exception:
            log.exception("the module failed on %s", type(message).__name__)
            self._metrics.add("module.faults")
            # What it had decided until then stands: its next step, above all, or housekeeping would end here.
            actions = [*self._gateway.actions]
            if isinstance(message, Job | ClaimEnded):
                actions.append(i.Fail(message.number))
        for action in actions:
            self._do(action)

    def _feed(self, message: Message) -> list[i.Action]:
        now, event = self._clock.now(), self._event(message)
        return self._gateway.handle(now, event) if event is not None else []

    def _event(self, message: Message) -> i.Event | None:
        match message:
            case Job():
                return self._request(message)
            case Left():
                if self._jobs.pop(message.job.number, None) is None:
                    return None  # answered while the news was in the queue
                self._metrics.add("jobs.left")
                return i.ClientDisconnected(message.job.number)
            case ClaimEnded():
                return self._outcome(message)
            case BodyBegun():
                known = message.number in self._jobs
                return (
                    i.StreamStarted(message.number, message.attempt, request_body_sent=True)
                    if known
                    else None
                )
            case Headed():
                return self._headed(message)
            case Delivered():
                self._delivered(message)
                return None
            case Command():
                return self._command(message)
            case HandsWritten():
                changed = self._operator.adopt(message.out, self._clock.now()) if self._operator else []
                return i.ServerList(tuple(changed)) if changed else None
            case i.Timer():
                self._timers.pop(message.token, None)
        return message

    def _command(self, command: Command) -> i.Event | None:
        """A call of the door: answered at once; what it changed of the nodes the module hears next."""
        if self._operator is None:
            return None
        said, changed = self._operator.handle(command.call, self._clock.now(), self.gauges())
        command.reply(said)
        return i.ServerList(tuple(changed)) if changed else None

    def gauges(self) -> Gauges:
        """What stands now: jobs owed an answer, nodes listed, and those of them that are avoided."""
        now, views = self._clock.now(), self._gateway.servers.values()
        avoided = sum(
            view.entry.state is not i.ServerState.READY or now < view.ejected_until for view in views
        )
        return Gauges(self.owed, len(views), avoided)

    def _request(self, job: Job) -> i.Request:
        job.number, self._next = self._next, self._next + 1
        self._jobs[job.number] = job
        self._metrics.add("jobs.taken")
        # The client counts from when it sent: what the job lay unread is off its patience.
        left = max(0.0, job.patience_ms - (self._clock.now() - job.came_ms))
        return i.Request(
            job.number,
            job.kind,
            job.plan,
            job.customer,
            left,
            job.units,
            job.set_size,
            job.retry,
            admit_only=job.cargo is None,
            streamed=job.streamed,
        )

    def _outcome(self, ended: ClaimEnded) -> i.AttemptEnded:
        served, job = ended.result is i.Result.OK, self._jobs.get(ended.number)
        self._metrics.add(f"claims.{ended.result.value.replace(' ', '_')}")
        if job is not None:
            job.cause = ended.cause
        if served:
            self._answer(ended.number, Answer(Verdict.SERVED, ended.body))
        final = ended.number not in self._jobs or (job is not None and job.flowing)
        return i.AttemptEnded(ended.number, ended.attempt, ended.server, ended.result, ended.waited_ms, final)

    def _headed(self, headed: Headed) -> i.Event | None:
        """The answer begins: from here on the job has its one answer, and nothing is made again."""
        job = self._jobs.get(headed.number)
        if job is None or job.flowing:
            headed.opening.withdraw()
            return None
        job.flowing = True
        job.reply(Answer(Verdict.SERVED, opening=headed.opening))
        return i.StreamStarted(headed.number, headed.attempt)

    def _delivered(self, delivered: Delivered) -> None:
        if self._jobs.pop(delivered.job.number, None) is not None:
            verdict = Verdict.SERVED if delivered.whole else Verdict.FAILED
            self._metrics.add(f"answers.{verdict.value}")
            self._metrics.add(outcome_counter(verdict, self._classes[delivered.job.kind]))

    def _answer(self, number: int, answer: Answer) -> None:
        """Guards against a second final answer: the job is forgotten with its first, and one whose answer
        flows has it already."""
        job = self._jobs.get(number)
        if job is not None and not job.flowing:
            del self._jobs[number]
            self._metrics.add(f"answers.{answer.verdict.value}")
            self._metrics.add(outcome_counter(answer.verdict, self._classes[job.kind]))
            job.reply(answer)

    def _failed(self, number: int) -> Answer:
        job = self._jobs.get(number)
        return Answer(Verdict.FAILED, cause=job.cause if job is not None else None)

    def _do(self, action: i.Action) -> None:
        match action:
            case i.SetTimer():
                put = self.inbox.put
                self._timers[action.token] = self._clock.later(action.delay_ms, put, i.Timer(action.token))
            case i.Send():
                job = self._jobs.get(action.request_id)
                if job is not None and self._nodes is not None:
                    job.claims += 1
                    self._metrics.add("claims.sent")
                    self._nodes.start(job, job.claims - 1, action.server, action.timeout_ms)
            case i.Cancel():
                if self._nodes is not None:
                    self._nodes.cancel(action.request_id, action.attempt)
            case i.Refuse():
                self._metrics.add(f"refused.{action.reason}")
                self._answer(action.request_id, Answer(Verdict.REFUSED, b"", action.retry_after_ms))
            case i.Admit():
                self._answer(action.request_id, Answer(Verdict.PASSED))
            case i.Fail():
                self._answer(action.request_id, self._failed(action.request_id))
            case i.AddToCounter():
                if self._counter is not None:
                    self._metrics.add("counter.calls")
                    self._counter.add(action.key, action.amount, action.ttl_ms)
            case i.Log():
                log.info("%s", action.text)
            case i.Subscribe() | i.Probe():
                pass  # the machine list is pushed here, and nodes may not be probed
            case _:
                assert_never(action)
