"""Tests of matching requests to routes."""

import cowslipgate_core as core
import pytest

TABLE = core.RouteTable(
    {
        "tags": core.Route("print", "shop.example", "/tags/"),
        "urgent": core.Route("print", "shop.example", "/tags/urgent/"),
        "any": core.Route("print", "", "/any/"),
    }
)


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        ("shop.example", "/tags/1", "tags"),
        ("SHOP.example:8080", "/tags/1", "tags"),
        ("shop.example", "/tags/urgent/1", "urgent"),
        ("other.example", "/any/1", "any"),
        ("shop.example", "/any/1", "any"),
        ("shop.example", "/tag", None),
        ("other.example", "/tags/1", None),
        ("", "", None),
    ],
)
def test_longest_prefix_of_the_host_is_chosen(
    host: str, path: str, name: str | None
) -> None:
    found = TABLE.find(host, path)
    assert (found.name if found else None) == name


def test_route_without_a_service_is_a_fault() -> None:
    document = {"routes": {"tags": {"host": "shop.example"}}}
    with pytest.raises(core.ConfigurationError) as caught:
        core.parse_configuration(1, document)
    assert [f.path for f in caught.value.faults] == ["$.routes.tags.service"]
