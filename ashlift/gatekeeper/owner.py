"""Runs the admission gateway in one greenlet: takes messages from a queue, performs the actions returned."""

import logging
from typing import TYPE_CHECKING, Any, assert_never

from gevent.queue import SimpleQueue

from ashlift.gatekeeper.admission import interface as i
from ashlift.gatekeeper.admission.control import Gateway
from ashlift.gatekeeper.jobs import (
    Answer,
    AttemptFinished,
    Clock,
    Command,
    Counter,
    Job,
    JobAbandoned,
    ManualDrainsChanged,
    Message,
    Nodes,
    RequestBodyStarted,
    ResponseDelivered,
    ResponseStarted,
    Verdict,
)
from ashlift.gatekeeper.metrics import Metrics
from ashlift.gatekeeper.operations.statsd_metrics import Gauges, outcome_counter

if TYPE_CHECKING:
    from ashlift.gatekeeper.operations.admin_handler import AdminHandler

log = logging.getLogger("ashlift.owner")


class Owner:
    """Passes events to the Gateway in order and performs the actions returned. Nothing else uses it."""

    def __init__(
        self, gateway: Gateway, clock: Clock, metrics: Metrics, classes: tuple[str, ...] = ()
    ) -> None:
        self._gateway, self._clock, self._metrics = gateway, clock, metrics
        self._classes = classes or tuple(str(index) for index in range(len(gateway.settings.classes)))
        self._operator: AdminHandler | None = None
        self.inbox: SimpleQueue[Message] = SimpleQueue()
        self._jobs: dict[int, Job] = {}  # by number; those without a final answer
        self._timers: dict[int, Any] = {}  # by token; referenced until they fire
        self._next_number = 1
        self._nodes: Nodes | None = None
        self._counter: Counter | None = None

    def connect(
        self, nodes: Nodes | None, counter: Counter | None, operator: "AdminHandler | None" = None
    ) -> None:
        """Set the adapters that perform actions. `operator` handles calls of the management interface."""
        self._nodes, self._counter, self._operator = nodes, counter, operator

    @property
    def unanswered(self) -> int:
        """Number of jobs without a final answer, including those still in the queue."""
        return len(self._jobs) + sum(isinstance(item, Job) for item in self.inbox.queue)

    def run(self) -> None:
        """Handle messages forever."""
        while True:
            self.handle(self.inbox.get())

    def close(self) -> None:
        """Cancel all timers."""
        for timer in self._timers.values():
            timer.close()
        self._timers.clear()

    def handle(self, message: Message) -> None:
        """Handle one message. An exception in the gateway fails the job concerned and no other."""
        try:
            actions = self._handle_message(message)
        except Exception:
            log.exception("admission gateway failed on a %s message", type(message).__name__)
            self._metrics.add("module.faults")
            # Actions returned before the exception are still performed: without the timer for the gateway's
            # next periodic step, that step would never run again.
            actions = [*self._gateway.actions]
            if isinstance(message, Job | AttemptFinished):
                actions.append(i.Fail(message.number))
        for action in actions:
            self._perform(action)

    def _handle_message(self, message: Message) -> list[i.Action]:
        now, event = self._clock.now(), self._to_event(message)
        return self._gateway.handle(now, event) if event is not None else []

    def _to_event(self, message: Message) -> i.Event | None:
        match message:
            case Job():
                return self._request_event(message)
            case JobAbandoned():
                if self._jobs.pop(message.job.number, None) is None:
                    return None  # answered while this message was in the queue
                self._metrics.add("jobs.left")
                return i.ClientDisconnected(message.job.number)
            case AttemptFinished():
                return self._attempt_event(message)
            case RequestBodyStarted():
                is_open = message.number in self._jobs
                return (
                    i.StreamStarted(message.number, message.attempt, request_body_sent=True)
                    if is_open
                    else None
                )
            case ResponseStarted():
                return self._start_response(message)
            case ResponseDelivered():
                self._finish_response(message)
                return None
            case Command():
                return self._run_command(message)
            case ManualDrainsChanged():
                changed = self._operator.adopt(message.out, self._clock.now()) if self._operator else []
                return i.ServerList(tuple(changed)) if changed else None
            case i.Timer():
                self._timers.pop(message.token, None)
        return message

    def _run_command(self, command: Command) -> i.Event | None:
        """Answer a call of the management interface; returns the node changes it made, for the gateway."""
        if self._operator is None:
            return None
        reply, changed = self._operator.handle(command.call, self._clock.now(), self.gauges())
        command.reply(reply)
        return i.ServerList(tuple(changed)) if changed else None

    def gauges(self) -> Gauges:
        """Current numbers of unanswered jobs, of listed nodes, and of listed nodes that get no new work."""
        now, views = self._clock.now(), self._gateway.servers.values()
        avoided = sum(
            view.entry.state is not i.ServerState.READY or now < view.ejected_until for view in views
        )
        return Gauges(self.unanswered, len(views), avoided)

    def _request_event(self, job: Job) -> i.Request:
        job.number, self._next_number = self._next_number, self._next_number + 1
        self._jobs[job.number] = job
        self._metrics.add("jobs.taken")
        # The client's timeout runs from when it sent the request, so time spent unread counts against it.
        time_left_ms = max(0.0, job.time_left_ms - (self._clock.now() - job.received_ms))
        return i.Request(
            job.number,
            job.request_class,
            job.plan,
            job.customer,
            time_left_ms,
            job.units,
            job.gateway_count,
            job.retry,
            admit_only=job.upstream_request is None,
            streamed=job.streamed,
        )

    def _attempt_event(self, message: AttemptFinished) -> i.AttemptEnded:
        served, job = message.result is i.Result.OK, self._jobs.get(message.number)
        self._metrics.add(f"claims.{message.result.value.replace(' ', '_')}")
        if job is not None:
            job.cause = message.cause
        if served:
            self._send_answer(message.number, Answer(Verdict.SERVED, message.body))
        final = message.number not in self._jobs or (job is not None and job.response_started)
        return i.AttemptEnded(
            message.number, message.attempt, message.server, message.result, message.elapsed_ms, final
        )

    def _start_response(self, message: ResponseStarted) -> i.Event | None:
        """Start to forward a response: the final answer of the job, which is no longer retried."""
        job = self._jobs.get(message.number)
        if job is None or job.response_started:
            message.opening.discard()
            return None
        job.response_started = True
        job.reply(Answer(Verdict.SERVED, opening=message.opening))
        return i.StreamStarted(message.number, message.attempt)

    def _finish_response(self, message: ResponseDelivered) -> None:
        if self._jobs.pop(message.job.number, None) is not None:
            verdict = Verdict.SERVED if message.complete else Verdict.FAILED
            self._metrics.add(f"answers.{verdict.value}")
            self._metrics.add(outcome_counter(verdict, self._classes[message.job.request_class]))

    def _send_answer(self, number: int, answer: Answer) -> None:
        """Send the final answer, unless the job has one or its response is being forwarded."""
        job = self._jobs.get(number)
        if job is not None and not job.response_started:
            del self._jobs[number]
            self._metrics.add(f"answers.{answer.verdict.value}")
            self._metrics.add(outcome_counter(answer.verdict, self._classes[job.request_class]))
            job.reply(answer)

    def _failure_answer(self, number: int) -> Answer:
        job = self._jobs.get(number)
        return Answer(Verdict.FAILED, cause=job.cause if job is not None else None)

    def _perform(self, action: i.Action) -> None:
        match action:
            case i.SetTimer():
                put = self.inbox.put
                self._timers[action.token] = self._clock.call_later(
                    action.delay_ms, put, i.Timer(action.token)
                )
            case i.Send():
                job = self._jobs.get(action.request_id)
                if job is not None and self._nodes is not None:
                    job.attempts += 1
                    self._metrics.add("claims.sent")
                    self._nodes.start(job, job.attempts - 1, action.server, action.timeout_ms)
            case i.Cancel():
                if self._nodes is not None:
                    self._nodes.cancel(action.request_id, action.attempt)
            case i.Refuse():
                self._metrics.add(f"refused.{action.reason}")
                self._send_answer(action.request_id, Answer(Verdict.REFUSED, b"", action.retry_after_ms))
            case i.Admit():
                self._send_answer(action.request_id, Answer(Verdict.PASSED))
            case i.Fail():
                self._send_answer(action.request_id, self._failure_answer(action.request_id))
            case i.AddToCounter():
                if self._counter is not None:
                    self._metrics.add("counter.calls")
                    self._counter.add(action.key, action.amount, action.ttl_ms)
            case i.Log():
                log.info("%s", action.text)
            case i.Subscribe() | i.Probe():
                pass  # the machine list arrives unasked, and nodes may not be probed
            case _:
                assert_never(action)
