"""Looks whether an entry ever shows an older configuration."""

from collections.abc import Mapping

import attrs


@attrs.define
class VersionWatch:
    """Remembers the newest version that each entry has shown."""

    reverted: list[tuple[str, int, int]] = attrs.Factory(list)
    """Entry with a version and the lower one that it showed later."""

    _newest: dict[str, int] = attrs.Factory(dict)
    """Newest version by entry."""

    def look(self, versions: Mapping[str, int]) -> None:
        """Compare versions with those before; 0 is none, as at a start."""
        for entry, version in versions.items():
            known = self._newest.get(entry, 0)
            if 0 < version < known:
                self.reverted.append((entry, known, version))
            self._newest[entry] = max(known, version)
