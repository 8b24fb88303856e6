"""Tests of the classification of a target's answers."""

import pytest

from cowslipgate_agent import _target_calls
import cowslipgate_core as core
import cowslipgate_transport as transport

TASK = "job-1.0.1"
LARGE = b'"' + b"x" * core.MAX_RESULT_BYTES + b'"'


@pytest.mark.parametrize(
    ("status", "task", "body", "outcome", "reason"),
    [
        (200, TASK, b'{"a":1}', "finished", ""),
        (200, TASK, b" 1 ", "finished", ""),
        (200, TASK, b"", "failed", "malformed_result"),
        (200, TASK, b'{"a":', "failed", "malformed_result"),
        (200, TASK, b"1],[2", "failed", "malformed_result"),
        (200, TASK, b'"\xff"', "failed", "malformed_result"),
        (200, TASK, b"<html>", "failed", "malformed_result"),
        (200, TASK, LARGE, "failed", "malformed_result"),
        (500, TASK, b"oops", "failed", "target_status"),
        (200, "job-2.0.1", b"1", "unknown", "wrong_task"),
        (200, None, b"1", "unknown", "wrong_task"),
    ],
)
def test_only_complete_json_with_the_id_of_the_task_is_a_result(
    status: int, task: str | None, body: bytes, outcome: str, reason: str
) -> None:
    address = transport.Address("127.0.0.1", 1)
    call = transport.Call(1, address, "POST", "/run")
    headers = {"task-id": task} if task else {}
    answer = transport.CallAnswer(call, status, headers, body)
    classified = _target_calls._classify_answer(TASK, answer)
    assert classified[:2] == (core.Outcome(outcome), core.Reason(reason))
