"""Messages between the components of the agent."""

import circuits


class target_announced(circuits.Event):
    """The target announced itself; the argument is an Announcement."""


class target_left(circuits.Event):
    """The target is draining or has left."""


class target_disconnected(circuits.Event):
    """The target closed a connection unanswered, or nothing listens there."""


class target_superseded(circuits.Event):
    """The target is known to have changed since its last announcement."""


class target_heartbeat_received(circuits.Event):
    """A target sent a heartbeat; the argument is a TargetHeartbeat."""


class target_ended(circuits.Event):
    """A target that sent heartbeats has ended; the argument is its id."""


class target_runs_known(circuits.Event):
    """The agent knows every run at the target."""


class agent_paused(circuits.Event):
    """This process stood still; the time, and the suspended part of it."""


class target_message_invalid(circuits.Event):
    """A message from the target was invalid; the argument is a WireError."""


class discover_entries(circuits.Event):
    """Request to look for entries."""


class members_found(circuits.Event):
    """Entries were found; the argument is a tuple of Member."""


class start_task(circuits.Event):
    """Request to call the target; arguments are StartTask and Announcement."""


class stop_task(circuits.Event):
    """Request to stop a task; the argument is a StopTask."""


class start_ordered(circuits.Event):
    """An order to start was sent.

    The arguments are the AttemptKey, the life of the target, when its
    announcement arrived, and the fencing token.
    """


class task_ended(circuits.Event):
    """A task ended; the arguments are its AttemptKey and AttemptReport."""


class report_attempts(circuits.Event):
    """Request to send outcomes; the argument is a SendReports."""


class send_reports(circuits.Event):
    """Request to send a heartbeat to every entry."""


class entry_message_received(circuits.Event):
    """An entry sent a message, which is the argument."""


class entry_linked(circuits.Event):
    """A link to an entry was opened; the argument is its Member."""


class entry_disconnected(circuits.Event):
    """The connection to an entry broke; the argument is its incarnation."""


class entry_dropped(circuits.Event):
    """An entry was lost or left; the argument is its incarnation."""


class perform_actions(circuits.Event):
    """Request to the runner to perform a list of ExecutorActions."""


class evacuations_read(circuits.Event):
    """The store answered a read; Evacuations, or None if the call failed."""


class orders_held(circuits.Event):
    """Orders wait until their entry is known to be alive; the Dispatch."""


class send_to_entry(circuits.Event):
    """Request to send; arguments are an entry's incarnation and a message."""


class tick(circuits.Event):
    """Fired at a regular interval."""


class agent_drained(circuits.Event):
    """No work is left, so the process may stop."""
