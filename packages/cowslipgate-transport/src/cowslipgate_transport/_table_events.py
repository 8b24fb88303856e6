"""Messages to and from the component that speaks to a store of rows."""

import circuits


class call_table(circuits.Event):
    """Asks the store for rows; the argument is a TableCall."""


class table_answered(circuits.Event):
    """The store answered; the argument is a TableAnswer."""
