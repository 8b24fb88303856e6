"""The configuration version in force here against the newest one heard."""

import attrs


@attrs.define
class VersionWatch:
    """Tells whether this process lags behind the configuration.

    While it lags, agents refuse what it sends; it holds its dispatches until
    it has caught up, so that a task is refused at most once for a version.
    """

    adopted: int = -1
    """Version in force here, or -1 before the first one."""

    newest: int = -1
    """Highest version that any process has named."""

    @property
    def behind(self) -> bool:
        """Whether a newer version is in force elsewhere."""
        return self.adopted < self.newest

    def adopt(self, version: int) -> None:
        """Note the version in force here."""
        self.adopted = max(self.adopted, version)

    def hear(self, version: int) -> None:
        """Note a version that another process named."""
        self.newest = max(self.newest, version)
