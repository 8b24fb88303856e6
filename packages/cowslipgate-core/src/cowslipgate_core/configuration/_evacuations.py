"""Failure domains to which nothing is sent, and their rows in the store."""

from collections.abc import Callable, Iterable

import attrs

from cowslipgate_core.messages import _tables

MAX_EVACUATED = 100
"""Domains that are held; bounds the messages that carry them."""

MAX_DOMAIN_BYTES = 200
"""Longest name of a domain in bytes of UTF-8."""

FindDomain = Callable[[str], str | None]
"""Returns the domain that a row's key names, or None for another row."""


@attrs.frozen
class Evacuations:
    """Evacuated domains as of a version; the higher version is in force."""

    version: int = 0
    """Version of the store at which the set was last read or changed."""

    domains: frozenset[str] = frozenset()
    """Domains to whose targets nothing is sent."""

    def is_newer_than(self, other: "Evacuations") -> bool:
        """Return whether this record is in force and the other is not."""
        return self.version > other.version


class StoredEvacuations:
    """The set of evacuated domains as the rows of the store give it.

    :param find_domain: finds the domain that a key names
    """

    def __init__(self, find_domain: FindDomain) -> None:
        self._find_domain = find_domain
        self._evacuations = Evacuations()

    @property
    def evacuations(self) -> Evacuations:
        """The set as last read or changed; version zero before a read."""
        return self._evacuations

    def record(self, answer: _tables.TableAnswer) -> list[_tables.RowFault]:
        """Update the set from a successful answer; return ignored rows.

        A read of the whole table replaces the set. Of too many domains, those
        requested first are held.
        """
        is_read = isinstance(answer.call, _tables.TableRead)
        rows = [row for row in answer.rows if self._names_domain(row)]
        if not is_read and not rows:
            return []
        domains = set() if is_read else set(self._evacuations.domains)
        faults = []
        for row in sorted(rows, key=lambda row: (row.version, row.key)):
            domain = self._find_domain(row.key) or ""
            if row.removed:
                domains.discard(domain)
                continue
            problem = _find_problem(domain, domains)
            if problem:
                fault = _tables.RowFault(row.key, row.version, problem)
                faults.append(fault)
            else:
                domains.add(domain)
        versions = [row.version for row in rows]
        version = max([answer.version] if is_read else versions)
        # The version rises without another set as well. Otherwise an older
        # set, received from another process, would replace this one.
        self._evacuations = Evacuations(
            max(version, self._evacuations.version), frozenset(domains)
        )
        return faults

    def _names_domain(self, row: _tables.TableRow) -> bool:
        return self._find_domain(row.key) is not None


def _find_problem(domain: str, domains: Iterable[str]) -> str:
    if not domain:
        return "it names no domain"
    if len(domain.encode()) > MAX_DOMAIN_BYTES:
        return f"the domain has more than {MAX_DOMAIN_BYTES} bytes"
    held = set(domains)
    if domain not in held and len(held) >= MAX_EVACUATED:
        return f"{MAX_EVACUATED} domains are held already"
    return ""
