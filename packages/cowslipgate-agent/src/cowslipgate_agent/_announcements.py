"""The loopback interface on which the target announces itself."""

import circuits
import msgspec

from cowslipgate_agent import _events
import cowslipgate_core as core
import cowslipgate_transport as transport

CHANNEL = "announcements"
TARGET_PATH = "/v1/target"


class Announcements(circuits.BaseComponent):
    """Answers ``PUT`` and ``DELETE`` of ``/v1/target``."""

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
        if exchange.method != "PUT":
            return _refuse(405, "use PUT or DELETE")
        try:
            announcement = self._decoder.decode(exchange.body)
            transport.parse_address(announcement.address)
        except (msgspec.MsgspecError, ValueError) as error:
            return _refuse(400, str(error))
        self.fire(_events.target_announced(announcement), "runner")
        return transport.Answer(200, b'{"status":"announced"}')


def _refuse(status: int, message: str) -> transport.Answer:
    body = {"error": {"type": "malformed", "message": message}}
    return transport.Answer(status, msgspec.json.encode(body))
