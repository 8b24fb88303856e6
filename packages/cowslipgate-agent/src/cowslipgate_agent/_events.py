"""Messages between the components of the agent."""

import circuits


class target_announced(circuits.Event):
    """The target announced itself; the argument is an Announcement."""


class target_left(circuits.Event):
    """The target said that it is leaving."""


class target_heard(circuits.Event):
    """A target that runs tasks under leases sent a TargetBeat."""


class target_gone(circuits.Event):
    """Such a target has ended; the argument is its id."""


class target_settled(circuits.Event):
    """Nothing runs at the target that the agent does not know of."""


class target_unclear(circuits.Event):
    """The target's answer could not be read; the argument is a WireError."""


class discover_entries(circuits.Event):
    """Asks to look for entries."""


class members_found(circuits.Event):
    """Entries were found; the argument is the tuple of their members."""


class start_task(circuits.Event):
    """Asks to call the target; arguments are StartTask and Announcement."""


class stop_task(circuits.Event):
    """Asks to stop a task; the argument is a StopTask."""


class task_ended(circuits.Event):
    """A call of the target ended; AttemptKey and AttemptReport."""


class report_attempts(circuits.Event):
    """Asks to send outcomes; the argument is a SendReports."""


class send_reports(circuits.Event):
    """Asks to send a heartbeat to every entry."""


class entry_heard(circuits.Event):
    """A message of an entry came; the argument is the message."""


class entry_linked(circuits.Event):
    """The agent connects to an entry; the argument is its Member."""


class entry_dropped(circuits.Event):
    """An entry is gone; the argument is its incarnation."""


class tell_entry(circuits.Event):
    """Asks to send a message; an entry's incarnation and the message."""


class tick(circuits.Event):
    """Fired at a regular interval."""


class agent_drained(circuits.Event):
    """Nothing is left to do before the process stops."""
