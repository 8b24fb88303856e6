"""Tests of the decoding of callers' JSON bodies."""

import json

import pytest

import cowslipgate_core as core

GOOD = {"payload": 1}
DEEP = b'{"tasks":[{"payload":' + b"[" * 100_000 + b"]" * 100_000 + b"}]}"


@pytest.mark.parametrize(
    ("body", "path"),
    [
        (b"", "$"),
        (b"[]", "$"),
        (b'{"tasks":[{}', "$"),
        (b"\xff\xfe", "$"),
        (b"{}", "$"),
        (b'{"tasks":[]}', "$.tasks"),
        (b'{"tasks":7}', "$.tasks"),
        (b'{"tasks":[{},{"size_ms":-1}]}', "$.tasks[1].size_ms"),
        (b'{"tasks":[{"size_ms":NaN}]}', "$"),
        (b'{"tasks":[{"size_ms":1e999}]}', "$.tasks[0].size_ms"),
        (b'{"tasks":[{},{},{"kind":3}]}', "$.tasks[2].kind"),
        (b'{"tasks":[3]}', "$.tasks[0]"),
        (b'{"tasks":[{"need":{}}]}', "$.tasks[0].need"),
        (b'{"tasks":[{"needs":{"gpu":1}}]}', "$.tasks[0].needs.gpu"),
        (
            b'{"tasks":[{"needs":{"memory_mb":-1}}]}',
            "$.tasks[0].needs.memory_mb",
        ),
        (b'{"tasks":[{}],"deadline":5}', "$.deadline"),
        (b'{"tasks":[{}],"deadline_ms":0}', "$.deadline_ms"),
        (b'{"tasks":[{}],"deadline_ms":1.5}', "$.deadline_ms"),
        (b'{"tasks":[{}],"repeatable":"no"}', "$.repeatable"),
        (b'{"tasks":[{}],"tasks":[{}]}', "$"),
        (b'{"tasks":[{"kind":"a","kind":"b"}]}', "$.tasks[0]"),
        (DEEP, "$"),
        (json.dumps({"tasks": [GOOD] * 411}).encode(), "$.tasks"),
    ],
)
def test_error_names_the_path_of_the_first_fault(
    body: bytes, path: str
) -> None:
    with pytest.raises(core.BodyError) as caught:
        core.parse_job(body)
    assert caught.value.path == path
    assert caught.value.problem


def test_payload_is_passed_on_unchanged() -> None:
    body = b'{"tasks":[{"payload":{"need":1,"need":2}}],"label":"hall-7"}'
    request = core.parse_job(body)
    assert bytes(request.tasks[0].payload) == b'{"need":1,"need":2}'


def test_body_of_another_type_is_refused() -> None:
    with pytest.raises(core.BodyError) as caught:
        core.parse_body(b'{"label":3}', dict[str, str])
    assert caught.value.path.startswith("$")
