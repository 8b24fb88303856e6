"""Events between the components of the entry."""

import circuits

GATEWAY = "gateway"
"""Channel of the HTTP server and of the components that answer on it."""


class submit_job(circuits.Event):
    """Command to admit and run a job; the argument is a Submission."""


class job_refused(circuits.Event):
    """A job was refused; arguments are Submission and JobAnswer."""


class job_accepted(circuits.Event):
    """A job passed admission; arguments are Submission and Job."""


class job_answered(circuits.Event):
    """An accepted job ended; arguments are Job and JobAnswer."""


class abandon_job(circuits.Event):
    """A caller disconnected before the answer; the argument is a job id."""


class confirm_callers(circuits.Event):
    """Callers are still connected; times of this by job id."""


class caller_unseen(circuits.Event):
    """A job was suspended, as its caller was not seen lately; the job."""


class caller_seen(circuits.Event):
    """A suspended job goes on, as its caller was seen; the job."""


class run_preempted(circuits.Event):
    """A run is stopped for a more urgent job; a ReportPreemption."""


class broadcast_cancellation(circuits.Event):
    """Command to cancel jobs at every entry; a Cancellation."""


class cancel_jobs(circuits.Event):
    """Command to cancel jobs at this entry; a Cancellation."""


class cancel_local_jobs(circuits.Event):
    """Command to cancel jobs here after the requests to other entries."""


class jobs_cancelled(circuits.Event):
    """Jobs of this entry ended; Cancellation and the number of jobs."""


class cancellation_answered(circuits.Event):
    """A cancellation ended at every entry, or timed out.

    The arguments are the Cancellation, the number of jobs, and the
    incarnations of the entries that did not reply.
    """


class inquire(circuits.Event):
    """Command to find or to cancel a caller's job; an Inquiry."""


class inquiry_answered(circuits.Event):
    """An inquiry ended.

    The arguments are the Inquiry, the JobState, or None if the job was not
    found, and whether an entry that may hold it has not answered.
    """


class store_cancellation(circuits.Event):
    """Command to store that a job was cancelled; its team and resource."""


class cancellation_stored(circuits.Event):
    """A cancellation was stored, and the list of entries read after that.

    The arguments are the team and the resource of the job and the members.
    """


class cancellation_relayed(circuits.Event):
    """Another entry asked this one to cancel a job."""


class cancellations_read(circuits.Event):
    """A starting entry read the stored cancellations.

    The argument holds the team and the resource of each, oldest first.
    """


class cancellations_counted(circuits.Event):
    """Cancellations were acted on; a CancellationAction and their number."""


class assign_tasks(circuits.Event):
    """Command to choose targets for waiting tasks."""


class flush_acknowledgements(circuits.Event):
    """Command to send the collected acknowledgements."""


class claim_job(circuits.Event):
    """Command to claim a job that is not repeatable; a Claim."""


class write_claims(circuits.Event):
    """Command to write the collected claims in one transaction."""


class job_claimed(circuits.Event):
    """A claim ended; Claim, ClaimOutcome and the id of the claiming job."""


class call_store(circuits.Event):
    """Command to call the table service; the argument is a StoreCall."""


class store_answered(circuits.Event):
    """A call of the table service ended; the argument is a StoreAnswer."""


class patch_configuration(circuits.Event):
    """An operator sent a patch; the argument is a Patch."""


class patch_stored(circuits.Event):
    """A patch was stored; Patch, its version and StoredConfiguration."""


class configuration_read(circuits.Event):
    """A patch read the stored row; the argument is StoredConfiguration."""


class patch_resolved(circuits.Event):
    """A patch ended; arguments are Patch and PatchOutcome."""


class adopt_configuration(circuits.Event):
    """Command to apply a received configuration.

    The arguments are its version and the encoded document.
    """


class configuration_adopted(circuits.Event):
    """A configuration took effect; the argument is the Configuration."""


class configuration_rejected(circuits.Event):
    """A stored configuration is not valid; a ConfigurationError."""


class operator_rows_read(circuits.Event):
    """Rows of the operators' table were read; the TableAnswer.

    It precedes the adoption of a configuration in the same answer.
    """


class newer_configuration_reported(circuits.Event):
    """An agent or entry reported a newer configuration version.

    The arguments are that version and the identity of the agent, if any.
    """


class configuration_requested(circuits.Event):
    """An agent was asked for a version; the version and the identity."""


class configuration_relayed(circuits.Event):
    """An agent sent a configuration; the argument is the Configuration."""


class peer_message_received(circuits.Event):
    """A message of another entry arrived; the argument is the message."""


class send_to_peers(circuits.Event):
    """Command to send a message to every other entry; the message."""


class send_to_peer(circuits.Event):
    """Command to send to one entry; its incarnation and the message."""


class members_changed(circuits.Event):
    """The set of live entries changed; the argument is their members."""


class member_stored(circuits.Event):
    """This entry's row was written for the first time since its start."""


class refresh_members(circuits.Event):
    """Command to read the list of entries now."""


class members_refreshed(circuits.Event):
    """The list of entries was read on command.

    The argument is the members, or None if the read failed.
    """


class members_found(circuits.Event):
    """Leases name entries that may be live; the argument is their members."""


class discover_members(circuits.Event):
    """Command to discover other entries through the balancer."""


class limits_changed(circuits.Event):
    """Quota limits changed; slots by team, and the time of expiry."""


class lease_changed(circuits.Event):
    """The lease row was read or written; its revision, and starvation."""


class tick(circuits.Event):
    """Periodic event; an entry fires it every ``TICK_SECONDS``."""


class drain(circuits.Event):
    """A planned stop began; callers should use other entries."""


class stop_at(circuits.Event):
    """Command to answer everybody before the entry stops, at this time."""


class close_entry(circuits.Event):
    """Command to refuse new jobs and finish those in flight."""


class entry_drained(circuits.Event):
    """No job or claim is in flight after ``close_entry``."""


class message_refused(circuits.Event):
    """A message contradicts its sender's identity.

    The arguments are the identity and the WireError.
    """
