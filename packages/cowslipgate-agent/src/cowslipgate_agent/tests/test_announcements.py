"""Tests of what targets announce, with odd values."""

import circuits
import cowslipgate_core as core
import cowslipgate_transport as transport
import pytest

from cowslipgate_agent import _announcements

DEEP = b"[" * 50_000 + b"]" * 50_000
HUGE = b"9" * 40
BODY = (
    b'{"service":%b,"address":"http://127.0.0.1:%b","slots":%b,'
    b'"connections":%b,"more":%b}'
)


class AnnouncementHarness(circuits.BaseComponent):
    """An ``Announcements`` component and the events that it fires."""

    channel = "harness"

    def __init__(self) -> None:
        super().__init__()
        self.announced: list[core.Announcement] = []
        self.statuses: list[int] = []
        _announcements.Announcements().register(self)

    @circuits.handler("target_announced", channel="runner")
    def _on_target_announced(self, announcement: core.Announcement) -> None:
        self.announced.append(announcement)

    @circuits.handler("answer_http", channel="*")
    def _on_answer_http(
        self, exchange: transport.Exchange, answer: transport.Answer
    ) -> None:
        self.statuses.append(answer.status)

    def announce(self, body: bytes) -> None:
        """Send an announcement and handle its events."""
        path = _announcements.TARGET_PATH
        exchange = transport.Exchange("PUT", path, {}, {}, body, None)
        self.fire(transport.http_requested(exchange), _announcements.CHANNEL)
        while len(self):
            self.flush()


def test_target_is_announced() -> None:
    harness = AnnouncementHarness()
    harness.announce(BODY % (b'"print"', b"9", b"1", b"1", b"null"))
    assert harness.statuses == [200]
    (announcement,) = harness.announced
    assert transport.parse_address(announcement.address).port == 9


# Guards against a task or a report that fails where the value is used.
@pytest.mark.parametrize(
    "values",
    [
        (b'"print"', b"0", b"1", b"1", b"null"),
        (b'"print"', b"65536", b"1", b"1", b"null"),
        (b'"print"', b"9", HUGE, b"1", b"null"),
        (b'"print"', b"9", b"1", HUGE, b"null"),
        (b'"print"', b"9", b"1", b"1", DEEP),
        (b'"%b"' % (b"x" * 257), b"9", b"1", b"1", b"null"),
    ],
)
def test_odd_announcement_is_refused(values: tuple[bytes, ...]) -> None:
    harness = AnnouncementHarness()
    harness.announce(BODY % values)
    assert (harness.announced, harness.statuses) == ([], [400])
