"""Test double of the platform's table service, with switchable faults."""

import datetime
import enum

import attrs
import circuits
from circuits.core import pollers
import cowslipgate_core as core
import cowslipgate_transport as transport
import msgspec

CHANNEL = "table"
TICK_SECONDS = 0.005
HTTP_OK = 200


class Mode(enum.StrEnum):
    """Behaviour: normal, no answers, writes applied unanswered, status 429."""

    NORMAL = "normal"
    DOWN = "down"
    LOSE_ANSWERS = "lose_answers"
    LIMITED = "limited"


@attrs.frozen
class Faults:
    """Faults in force, the body of ``PUT /faults``."""

    mode: Mode = Mode.NORMAL
    """Behaviour for requests to rows."""

    write_ms: float = 4.0
    """Delay of the answer to a write, in milliseconds."""

    read_ms: float = 0.5
    """Delay of the answer to a read, in milliseconds."""


@attrs.frozen
class Row:
    """Value and revision of a row, the body of an answer to a read."""

    value: object
    """JSON value; null after the row was deleted."""

    revision: int
    """Number of writes of the row so far."""


@attrs.frozen
class RowCondition:
    """Revision that a row must have for a transaction to be applied."""

    table: str
    """Name of the table."""

    key: str
    """Key of the row."""

    revision: int = 0
    """Expected current revision; 0 for an absent row."""


@attrs.frozen
class RowWrite:
    """Write of a row in a transaction."""

    table: str
    """Name of the table."""

    key: str
    """Key of the row."""

    value: object = None
    """JSON value; null deletes the row."""


@attrs.frozen
class Transaction:
    """The body of ``POST /transactions``."""

    conditions: tuple[RowCondition, ...] = ()
    """Conditions that must all hold, otherwise the status is 409."""

    writes: tuple[RowWrite, ...] = ()
    """Rows to write, all or none."""


class answer_due(circuits.Event):
    """Fired every ``TICK_SECONDS`` to send the answers that are due."""


class Table(circuits.BaseComponent):
    """Component that holds the rows and answers requests."""

    channel = CHANNEL

    def __init__(self, clock: core.Clock) -> None:
        super().__init__()
        self._clock = clock
        self._rows: dict[tuple[str, str], Row] = {}
        self._revisions: dict[tuple[str, str], int] = {}
        self._faults = Faults()
        self._counts = {"reads": 0, "writes": 0}
        self._due: list[
            tuple[datetime.datetime, transport.Exchange, transport.Answer]
        ] = []

    @circuits.handler("http_requested")
    def _on_http_requested(self, exchange: transport.Exchange) -> None:
        if exchange.path == "/faults":
            self._faults = msgspec.json.decode(exchange.body, type=Faults)
            self._answer(exchange, transport.Answer(HTTP_OK, b"{}"), 0.0)
            return
        if exchange.path == "/counts":
            body = msgspec.json.encode(self._counts)
            self._answer(exchange, transport.Answer(HTTP_OK, body), 0.0)
            return
        mode = self._faults.mode
        if mode is Mode.DOWN:
            # No answer: the call ends by the caller's timeout.
            return
        if mode is Mode.LIMITED:
            self._answer(exchange, transport.Answer(429, b"{}"), 0.0)
            return
        if exchange.method == "GET":
            self._counts["reads"] += 1
            self._answer(exchange, self._read(exchange), self._faults.read_ms)
            return
        self._counts["writes"] += 1
        answer = self._write(exchange)
        if mode is not Mode.LOSE_ANSWERS:
            self._answer(exchange, answer, self._faults.write_ms)

    @circuits.handler("answer_due")
    def _on_answer_due(self) -> None:
        now = self._clock.now()
        ready = [item for item in self._due if item[0] <= now]
        self._due = [item for item in self._due if item[0] > now]
        for _, exchange, answer in ready:
            self.fire(transport.answer_http(exchange, answer))

    def _answer(
        self,
        exchange: transport.Exchange,
        answer: transport.Answer,
        milliseconds: float,
    ) -> None:
        delay = datetime.timedelta(milliseconds=milliseconds)
        self._due.append((self._clock.now() + delay, exchange, answer))

    def _read(self, exchange: transport.Exchange) -> transport.Answer:
        table, _, key = exchange.path.removeprefix("/tables/").partition("/")
        row = self._rows.get((table, key))
        if row is None:
            return transport.Answer(404, b"{}")
        return transport.Answer(HTTP_OK, msgspec.json.encode(row))

    def _write(self, exchange: transport.Exchange) -> transport.Answer:
        try:
            transaction = msgspec.json.decode(exchange.body, type=Transaction)
        except msgspec.MsgspecError as error:
            return transport.Answer(400, msgspec.json.encode(str(error)))
        for condition in transaction.conditions:
            row = self._rows.get((condition.table, condition.key))
            revision = row.revision if row is not None else 0
            if revision != condition.revision:
                return transport.Answer(409, b"{}")
        for write in transaction.writes:
            name = (write.table, write.key)
            self._revisions[name] = self._revisions.get(name, 0) + 1
            self._rows[name] = Row(write.value, self._revisions[name])
        return transport.Answer(HTTP_OK, b"{}")


def run_table(port: int) -> None:
    """Serve the table on a loopback port and print the port number."""
    process = circuits.Component()
    pollers.EPoll().register(process)
    clock = core.SystemClock()
    server = transport.HttpServer(
        ("127.0.0.1", port), CHANNEL, clock, transport.ServerLimits()
    )
    server.register(process)
    Table(clock).register(process)
    circuits.Timer(TICK_SECONDS, answer_due(), CHANNEL, persist=True).register(
        process
    )
    print(server.port, flush=True)
    process.run()
