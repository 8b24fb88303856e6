"""Metrics page on an HTTP server of its own."""

from collections.abc import Callable

import circuits

from cowslipgate_transport import _exposition
from cowslipgate_transport import _http_exchanges

METRICS_PATH = "/metrics"


class MetricsPage(circuits.BaseComponent):
    """Answers ``GET /metrics``.

    :param channel: channel of that server
    :param render: function that returns the text exposition
    """

    def __init__(self, channel: str, render: Callable[[], bytes]) -> None:
        super().__init__(channel=channel)
        self._render = render

    @circuits.handler("http_requested")
    def _on_http_requested(self, exchange: _http_exchanges.Exchange) -> None:
        answer = _http_exchanges.Answer(404, b"")
        if exchange.method == "GET" and exchange.path == METRICS_PATH:
            answer = _http_exchanges.Answer(
                200, self._render(), content_type=_exposition.CONTENT_TYPE
            )
        self.fire(_http_exchanges.answer_http(exchange, answer))
