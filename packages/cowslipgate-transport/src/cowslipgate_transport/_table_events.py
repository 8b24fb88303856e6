"""Events to and from the component that calls a store of tables."""

import circuits


class call_table(circuits.Event):
    """Asks to read, follow or write rows; the argument is a TableCall."""


class table_answered(circuits.Event):
    """The store answered; the argument is a TableAnswer."""
