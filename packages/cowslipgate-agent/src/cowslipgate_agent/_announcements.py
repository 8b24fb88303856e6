"""HTTP interface on the loopback address where targets announce themselves."""

import circuits
import msgspec

from cowslipgate_agent import _events
import cowslipgate_core as core
import cowslipgate_transport as transport

CHANNEL = "announcements"
TARGET_PATH = "/v1/target"


class Announcements(circuits.BaseComponent):
    """Handler of ``GET``, ``PUT`` and ``DELETE`` on ``/v1/target``."""

    channel = CHANNEL

    def __init__(self) -> None:
        super().__init__()
        self._decoder = msgspec.json.Decoder(core.Announcement)

    @circuits.handler("http_requested")
    def _on_http_requested(self, exchange: transport.Exchange) -> None:
        answer = self._handle(exchange)
        self.fire(transport.answer_http(exchange, answer))

    def _handle(self, exchange: transport.Exchange) -> transport.Answer:
        if exchange.path != TARGET_PATH:
            return _refuse(404, f"only {TARGET_PATH} is served here")
        if exchange.method == "DELETE":
            self.fire(_events.target_left(), "runner")
            return transport.Answer(200, b'{"status":"leaving"}')
        if exchange.method == "GET":
            traffic = transport.measure_traffic(self)
            return transport.Answer(200, msgspec.json.encode(traffic))
        if exchange.method != "PUT":
            return _refuse(405, "use GET, PUT or DELETE")
        try:
            announcement = core.decode(
                self._decoder, exchange.body, b"announcement"
            )
        except core.WireError as error:
            return _refuse(400, error.problem)
        fault = _find_fault(announcement)
        if fault:
            return _refuse(400, fault)
        self.fire(_events.target_announced(announcement), "runner")
        return transport.Answer(200, b'{"status":"announced"}')


def _find_fault(announcement: core.Announcement) -> str:
    try:
        transport.parse_address(announcement.address)
    except ValueError:
        return "$.address: must be http://, an IP number and a port"
    if not announcement.service:
        return "$.service: must be a text"
    if announcement.slots < 0:
        return "$.slots: must be a whole number, 0 or more"
    if announcement.connections < 1:
        return "$.connections: must be a whole number, 1 or more"
    return ""


def _refuse(status: int, message: str) -> transport.Answer:
    body = {"error": {"type": "malformed", "message": message}}
    return transport.Answer(status, msgspec.json.encode(body))
