"""Messages between the components of the entry."""

import circuits

GATEWAY = "gateway"
"""Channel on which each event for callers and operators is fired once."""


class submit_job(circuits.Event):
    """Asks to take a job; the argument is a Submission."""


class job_refused(circuits.Event):
    """A job was not taken; arguments are Submission and JobAnswer."""


class job_accepted(circuits.Event):
    """A job was taken; arguments are Submission and Job."""


class job_answered(circuits.Event):
    """A job was answered; arguments are Job and JobAnswer."""


class abandon_job(circuits.Event):
    """A caller went away; the argument is the job's id."""


class spread_cancellation(circuits.Event):
    """Asks to cancel jobs at every entry; the argument is a Cancellation."""


class cancel_jobs(circuits.Event):
    """Asks to cancel jobs here; the argument is a Cancellation."""


class cancel_own_jobs(circuits.Event):
    """Asks to cancel jobs here once the other entries have been asked."""


class jobs_cancelled(circuits.Event):
    """Jobs were cancelled; arguments are Cancellation and their number."""


class cancellation_answered(circuits.Event):
    """Every entry that answers did; Cancellation, jobs and silent entries."""


class assign_tasks(circuits.Event):
    """Asks to choose targets for waiting tasks."""


class flush_acknowledgements(circuits.Event):
    """Asks to send the acknowledgements gathered."""


class claim_job(circuits.Event):
    """Asks to claim a job that may not be repeated; a Claim."""


class write_claims(circuits.Event):
    """Asks to write the claims gathered in one transaction."""


class job_claimed(circuits.Event):
    """A claim was decided; arguments are Claim and ClaimOutcome."""


class call_store(circuits.Event):
    """Asks to call the table service; the argument is a StoreCall."""


class store_answered(circuits.Event):
    """The table service answered; the argument is a StoreAnswer."""


class patch_configuration(circuits.Event):
    """An operator sent a patch; the argument is a Patch."""


class patch_stored(circuits.Event):
    """A patch is stored; Patch, its version and StoredConfiguration."""


class configuration_read(circuits.Event):
    """The row was read for a patch; the argument is StoredConfiguration."""


class patch_decided(circuits.Event):
    """A patch was decided; arguments are Patch and PatchOutcome."""


class adopt_configuration(circuits.Event):
    """A configuration came from elsewhere; version and encoded document."""


class configuration_adopted(circuits.Event):
    """A configuration is in force; the argument is the Configuration."""


class configuration_rejected(circuits.Event):
    """A stored configuration is not valid; a ConfigurationError."""


class configuration_wanted(circuits.Event):
    """Somebody knows a newer version.

    The arguments are that version and, if it is an agent, its identity.
    """


class configuration_asked(circuits.Event):
    """An agent was asked for a version; the version and its identity."""


class configuration_relayed(circuits.Event):
    """An agent passed one on; the argument is the Configuration."""


class peer_heard(circuits.Event):
    """Another entry sent a message; the argument is the message."""


class tell_peers(circuits.Event):
    """Asks to send a message to every other entry."""


class tell_peer(circuits.Event):
    """Asks to send to one entry; arguments are incarnation and message."""


class members_changed(circuits.Event):
    """The live entries changed; the argument is the tuple of members."""


class members_found(circuits.Event):
    """Leases name entries that may live; the argument is their members."""


class discover_members(circuits.Event):
    """Asks to look for other entries through the balancer."""


class limits_changed(circuits.Event):
    """Quota limits changed; slots by team, and until when they hold."""


class lease_changed(circuits.Event):
    """The lease row was read or written; its revision, and starvation."""


class tick(circuits.Event):
    """Fired at a regular interval."""


class drain(circuits.Event):
    """Tells that the entry is about to stop; callers should go elsewhere."""


class close_entry(circuits.Event):
    """Asks to refuse new jobs and finish those in flight."""


class entry_drained(circuits.Event):
    """Nothing is in flight any more."""


class message_refused(circuits.Event):
    """A message is not its sender's; identity and WireError."""
