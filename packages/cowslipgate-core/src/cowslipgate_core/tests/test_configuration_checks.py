"""Tests of the findings in a configuration."""

from typing import Any

import cowslipgate_core as core
import pytest

ROUTE = {"service": "print", "host": "a.example", "path_prefix": "/x/"}
SERVICES = {"print": {}, "scan": {}}


def _build(**sections: Any) -> dict[str, Any]:
    return {"services": SERVICES} | sections


def _find_paths(document: Any) -> list[str]:
    return [fault.path for fault in core.check_document(document)]


@pytest.mark.parametrize(
    "document",
    [
        {},
        _build(routes={"r": ROUTE, "s": ROUTE | {"path_prefix": "/x/y/"}}),
        _build(routes={"r": ROUTE, "s": ROUTE | {"host": ""}}),
        _build(
            routes={"r": ROUTE | {"timeout_ms": 9, "target_latency_ms": 9}}
        ),
        # Jobs may have fewer tasks than the greatest number of all.
        _build(teams={"hall": {"slots": 8}}),
        _build(
            services={"print": {"max_tasks": 8}, "scan": {"max_tasks": 40}},
            teams={"hall": {"slots": 8}},
        ),
    ],
)
def test_clean_document_has_no_finding(document: dict[str, Any]) -> None:
    assert _find_paths(document) == []


@pytest.mark.parametrize(
    ("document", "path"),
    [
        ([], "$"),
        ({"service": {}}, "$.service"),
        (
            _build(routes={"r": ROUTE | {"priority": -1}}),
            "$.routes.r.priority",
        ),
        (_build(routes={"r": ROUTE | {"share": 1.5}}), "$.routes.r.share"),
    ],
)
def test_invalid_document_is_reported_with_the_place(
    document: Any, path: str
) -> None:
    assert _find_paths(document) == [path]


# Guards against routes whose jobs all go elsewhere or are refused.
@pytest.mark.parametrize(
    ("changes", "path"),
    [
        ({}, "$.routes.s"),
        ({"host": "A.EXAMPLE", "service": "scan"}, "$.routes.s"),
        ({"host": "b.example", "service": "none"}, "$.routes.s.service"),
        ({"host": "a.example:80"}, "$.routes.s.host"),
        ({"path_prefix": "y/"}, "$.routes.s.path_prefix"),
    ],
)
def test_route_that_never_matches_is_found(
    changes: dict[str, Any], path: str
) -> None:
    assert _find_paths(_build(routes={"r": ROUTE, "s": ROUTE | changes})) == [
        path
    ]


def test_routes_with_an_empty_prefix_and_a_slash_match_the_same() -> None:
    routes = {
        "r": ROUTE | {"path_prefix": ""},
        "s": ROUTE | {"path_prefix": "/"},
    }
    assert _find_paths(_build(routes=routes)) != []


def test_timeout_below_the_objective_is_found() -> None:
    limits = {"timeout_ms": 50, "target_latency_ms": 60}
    document = _build(routes={"r": ROUTE | limits})
    assert _find_paths(document) == ["$.routes.r.timeout_ms"]


def test_shares_above_one_are_found_at_each_route() -> None:
    routes = {
        name: ROUTE | {"host": name, "share": 0.6} for name in ("r", "s")
    }
    assert _find_paths(_build(routes=routes)) == [
        "$.routes.r.share",
        "$.routes.s.share",
    ]


def test_limits_below_one_job_are_found() -> None:
    services = {"print": {"max_tasks": 40, "max_backlog": 39}}
    document = _build(services=services, teams={"hall": {"slots": 39}})
    assert _find_paths(document) == [
        "$.services.print.max_backlog",
        "$.teams.hall.slots",
    ]


def test_differences_are_found_item_by_item() -> None:
    before = _build(routes={"r": ROUTE, "s": ROUTE})
    after = _build(
        routes={"r": ROUTE | {"priority": 1}, "t": ROUTE}, teams={"hall": {}}
    )
    assert core.compare_documents(before, after) == (
        core.Difference("$.routes.r.priority", None, 1),
        core.Difference("$.routes.s", ROUTE, None),
        core.Difference("$.routes.t", None, ROUTE),
        core.Difference("$.teams", None, {"hall": {}}),
    )
    assert core.compare_documents(after, after) == ()


# Guards against values that Python takes as equal.
def test_values_of_another_type_differ() -> None:
    before = {"services": {"print": {"preemption": True}}}
    after = {"services": {"print": {"preemption": 1}}}
    assert len(core.compare_documents(before, after)) == 1
