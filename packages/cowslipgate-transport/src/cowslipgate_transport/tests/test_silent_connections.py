"""Tests of a client whose open connections to a server have gone silent.

Pattern: without a reset nothing arrives any more on the connections that were
open at one moment; new ones work. Each idle one cost a time-out.
"""

from collections.abc import Iterator
import datetime

import cowslipgate_core as core
import pytest

import cowslipgate_transport as transport
from cowslipgate_transport.tests import client_builders

LIMIT = datetime.timedelta(seconds=1)
ROUNDS = 20


class Scene:
    """A client with idle connections to a server."""

    def __init__(self, idle: int = 3) -> None:
        self.clock = core.ManualClock()
        self.harness = client_builders.ClientHarness(self.clock)
        self.server = client_builders.HushedServer()
        self._numbers = 0
        self.call(*["GET"] * idle)
        assert self.server.accepted == idle
        self.harness.answers.clear()

    def call(
        self,
        *methods: str,
        limit: datetime.timedelta = LIMIT,
        connections: int = 0,
    ) -> None:
        """Make calls at once, and run some rounds."""
        for method in methods:
            self._numbers += 1
            self.harness.call(
                self.server.address, self._numbers, method, limit, connections
            )
        self.run()

    def run(self) -> None:
        """Run the client and the server for some rounds."""
        for _ in range(ROUNDS):
            self.server.poll()
            self.harness.run_round()
        assert self.harness.errors == []

    def pass_time(self, seconds: float) -> None:
        """Advance the clock, and let the client check its calls."""
        self.clock.advance(datetime.timedelta(seconds=seconds))
        check = transport.check_calls()
        self.harness.fire(check, client_builders.CHANNEL)
        self.run()

    @property
    def problems(self) -> list[transport.CallProblem]:
        """Why calls have failed."""
        return [failure.problem for failure in self.harness.failures]

    def close(self) -> None:
        """Close the server."""
        self.server.close()


@pytest.fixture
def scene() -> Iterator[Scene]:
    """Return a client with three idle connections."""
    scene = Scene()
    yield scene
    scene.close()


TIMEOUT = transport.CallProblem.TIMEOUT


# Guards against a time-out for each idle connection after one silence, by
# which a new configuration was in force 3 s late.
@pytest.mark.parametrize("method", ["GET", "POST"])
def test_one_silence_costs_one_timeout(scene: Scene, method: str) -> None:
    scene.server.silence()
    scene.call(method)
    scene.pass_time(1.1)
    assert scene.problems == [TIMEOUT]
    scene.call(method, method)
    assert len(scene.harness.answers) == 2
    assert scene.problems == [TIMEOUT]
    assert scene.server.accepted == 5


# Guards against a call for changes that waits for its own limit, though
# another call has shown that connections of its age are silent.
def test_reading_call_beside_a_silent_one_ends_with_it(scene: Scene) -> None:
    scene.server.silence()
    scene.call("GET", limit=3 * LIMIT)
    scene.pass_time(0.2)
    scene.call("POST")
    scene.pass_time(1.1)
    assert scene.problems == [TIMEOUT, TIMEOUT]


# Guards against a second execution: only a call that changes nothing is given
# up before its limit, and none is sent again by the client.
def test_writing_call_beside_a_silent_one_waits_for_its_limit(
    scene: Scene,
) -> None:
    scene.server.silence()
    scene.call("POST", limit=3 * LIMIT)
    scene.pass_time(0.2)
    scene.call("POST")
    before = len(scene.server.requests)
    scene.pass_time(1.1)
    assert scene.problems == [TIMEOUT]
    scene.pass_time(2.0)
    assert scene.problems == [TIMEOUT, TIMEOUT]
    assert all(failure.sent for failure in scene.harness.failures)
    assert len(scene.server.requests) == before


# Guards against a reading call that is given up though its connection has been
# heard since.
def test_call_on_a_connection_heard_since_goes_on(scene: Scene) -> None:
    scene.server.silence(2)
    scene.call("POST")
    assert scene.harness.results == 0
    scene.pass_time(0.5)
    # The next idle connection is heard, and then carries another call.
    scene.call("GET")
    assert len(scene.harness.answers) == 1
    scene.server.silence(1)
    scene.call("GET", limit=5 * LIMIT)
    scene.pass_time(0.6)
    assert scene.problems == [TIMEOUT]


def test_idle_connections_to_another_server_stay(scene: Scene) -> None:
    other = client_builders.HushedServer()
    silent, scene.server = scene.server, other
    scene.call("GET")
    scene.server = silent
    scene.server.silence()
    scene.call("GET")
    scene.pass_time(1.1)
    scene.server = other
    scene.call("GET")
    assert (other.accepted, len(scene.harness.answers)) == (1, 2)
    silent.close()


# Guards against a waiting call that takes a doubted connection as these are
# closed.
def test_waiting_call_starts_on_a_new_connection(scene: Scene) -> None:
    scene.server.silence()
    scene.call("POST")
    scene.call("POST", limit=3 * LIMIT, connections=3)
    scene.call("POST", limit=3 * LIMIT, connections=3)
    scene.call("GET", limit=3 * LIMIT, connections=3)
    assert scene.harness.results == 0
    scene.pass_time(1.1)
    assert len(scene.harness.answers) == 1
    assert scene.problems == [TIMEOUT]


# Guards against connections that are closed because the way to a server is cut
# for new ones: the idle ones have not been tried.
def test_call_that_was_not_sent_casts_no_doubt() -> None:
    scene = Scene(0)
    scene.call("POST", limit=0 * LIMIT)
    scene.pass_time(0.1)
    scene.call("GET")
    accepted = scene.server.accepted
    scene.call("GET")
    assert scene.server.accepted == accepted
    scene.close()


# Guards against new connections to a target at each order that it leaves
# unanswered, while others show that it is there.
def test_idle_connection_heard_lately_stays(scene: Scene) -> None:
    # The latest idle connection is used first.
    scene.server.silence(2)
    scene.call("POST")
    scene.pass_time(LIMIT.total_seconds() - 0.05)
    scene.call("GET")
    assert len(scene.harness.answers) == 1
    scene.pass_time(0.06)
    assert scene.problems == [TIMEOUT]
    accepted = scene.server.accepted
    scene.call("GET")
    assert (scene.server.accepted, scene.problems) == (accepted, [TIMEOUT])


# Guards against new connections to a target at each order that it leaves
# unanswered, though nothing else is sent to it meanwhile.
def test_call_that_is_given_up_soon_casts_no_doubt(scene: Scene) -> None:
    scene.server.silence(2)
    scene.call("POST", limit=0.15 * LIMIT)
    scene.pass_time(0.2)
    assert scene.problems == [TIMEOUT]
    accepted = scene.server.accepted
    scene.call("GET", "GET")
    assert (scene.server.accepted, scene.problems) == (accepted, [TIMEOUT])
