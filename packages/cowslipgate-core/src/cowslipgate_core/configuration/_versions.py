"""Comparison of the local configuration version with the newest known."""

import attrs


@attrs.define
class VersionWatch:
    """The configuration version in force here and the newest known one.

    Agents refuse dispatches of an outdated version. An entry therefore sends
    none while it is behind, so that a version causes at most one refusal of a
    task.
    """

    adopted: int = -1
    """Version in force in this process, or -1 before the first one."""

    newest: int = -1
    """Highest version received from any process, or -1 before the first."""

    @property
    def is_outdated(self) -> bool:
        """Whether a version newer than the adopted one is known."""
        return self.adopted < self.newest

    def adopt(self, version: int) -> None:
        """Record the version that is now in force in this process."""
        self.adopted = max(self.adopted, version)

    def record_version(self, version: int) -> None:
        """Record a version received from another process."""
        self.newest = max(self.newest, version)
