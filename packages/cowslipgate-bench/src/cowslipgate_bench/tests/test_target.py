"""Tests of the simulated target."""

import threading
import types

import circuits
from circuits.core import events
import cowslipgate_core as core
import cowslipgate_transport as transport

from cowslipgate_bench import _target


class RecordingPoller(circuits.BaseComponent):
    """Poller that records its time to sleep, in seconds, and doesn't sleep."""

    seconds = -1.0

    @circuits.handler("generate_events", priority=-9, channel="*")
    def _on_generate_events(self, event: events.generate_events) -> None:
        event.stop()
        self.seconds = event.time_left


def test_ended_task_is_answered_before_the_target_sleeps() -> None:
    root = circuits.BaseComponent()
    clock = core.ManualClock()
    options = _target.TargetOptions("print", 0)
    _target.Target(options, clock).register(root)
    poller = RecordingPoller().register(root)
    response = types.SimpleNamespace()
    exchange = transport.Exchange(
        "POST", "/run", {}, {"task-id": "1.0.1"}, b"{}", response
    )
    root.fire(transport.http_requested(exchange), _target.CHANNEL)
    while len(root):
        root.flush()
    # Only a running manager lets its poller sleep.
    root._running = True
    root.fire(events.generate_events(threading.RLock(), 10.0), "*")
    root.flush()
    assert poller.seconds == 0
