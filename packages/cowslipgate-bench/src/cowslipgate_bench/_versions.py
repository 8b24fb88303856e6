"""Detection of entries that revert to an older configuration."""

from collections.abc import Mapping

import attrs


@attrs.define
class ReversionDetector:
    """Newest configuration version that each entry has shown."""

    reverted: list[tuple[str, int, int]] = attrs.Factory(list)
    """Entry, a version it showed and a lower one that it showed later."""

    _newest: dict[str, int] = attrs.Factory(dict)
    """Newest version by entry."""

    def record_versions(self, versions: Mapping[str, int]) -> None:
        """Record versions and reversions; 0 is none yet, as after a start."""
        for entry, version in versions.items():
            newest = self._newest.get(entry, 0)
            if 0 < version < newest:
                self.reverted.append((entry, newest, version))
            self._newest[entry] = max(newest, version)
