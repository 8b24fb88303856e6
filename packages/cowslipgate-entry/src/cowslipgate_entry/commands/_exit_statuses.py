"""Exit statuses of the commands."""

import enum


class ExitStatus(enum.IntEnum):
    """Exit status of a command; ``EXIT_STATUSES`` describes each."""

    COMPLETE = 0
    FAILED = 1
    SETTINGS = 2
    REFUSED = 3
    UNREACHABLE = 4
