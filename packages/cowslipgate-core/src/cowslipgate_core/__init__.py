"""Decision logic and messages of cowslipgate.

This package has no sockets or threads; callers pass the time in. What only an
entry uses is imported on first use, since importing it takes an agent a sixth
of its start.
"""

import importlib

from cowslipgate_core import _charts
from cowslipgate_core import _clock
from cowslipgate_core import _exceptions
from cowslipgate_core import _incarnations
from cowslipgate_core import _settings
from cowslipgate_core.configuration import _compression
from cowslipgate_core.configuration import _configuration
from cowslipgate_core.configuration import _evacuations
from cowslipgate_core.configuration import _routes
from cowslipgate_core.configuration import _versions
from cowslipgate_core.execution import _executor
from cowslipgate_core.execution import _executor_actions
from cowslipgate_core.execution import _health
from cowslipgate_core.execution import _outcomes
from cowslipgate_core.execution import _pauses
from cowslipgate_core.execution import _run_budgets
from cowslipgate_core.execution import _run_records
from cowslipgate_core.execution import _runs
from cowslipgate_core.execution import _sessions
from cowslipgate_core.execution import _slots
from cowslipgate_core.execution import _target_state
from cowslipgate_core.membership import _gossip
from cowslipgate_core.membership import _heartbeats
from cowslipgate_core.membership import _lease_rows
from cowslipgate_core.membership import _member_lists
from cowslipgate_core.membership import _membership
from cowslipgate_core.membership import _quotas
from cowslipgate_core.membership import _validity
from cowslipgate_core.messages import _attempts
from cowslipgate_core.messages import _batches
from cowslipgate_core.messages import _cancels
from cowslipgate_core.messages import _decoding
from cowslipgate_core.messages import _documents
from cowslipgate_core.messages import _evacuation_notices
from cowslipgate_core.messages import _fields
from cowslipgate_core.messages import _reports
from cowslipgate_core.messages import _resources
from cowslipgate_core.messages import _sender_checks
from cowslipgate_core.messages import _tables
from cowslipgate_core.messages import _wire
from cowslipgate_core.placement import _room
from cowslipgate_core.placement import _targets

Acknowledge = _attempts.Acknowledge
add_resources = _room.add_resources
Announcement = _executor_actions.Announcement
AttemptKey = _executor_actions.AttemptKey
AttemptReport = _attempts.AttemptReport
Beat = _reports.Beat
Bind = _settings.Bind
BodyError = _exceptions.BodyError
CallStart = _run_records.CallStart
CallStop = _run_records.CallStop
CallWatch = _run_records.CallWatch
CancelReply = _cancels.CancelReply
CancelRequest = _cancels.CancelRequest
Candidates = _membership.Candidates
Chart = _charts.Chart
ChartError = _exceptions.ChartError
CheckedSettings = _settings.CheckedSettings
choose_entries = _membership.choose_entries
choose_heartbeat = _heartbeats.choose_heartbeat
choose_receivers = _gossip.choose_receivers
choose_slots = _quotas.choose_slots
choose_target = _quotas.choose_target
Clock = _clock.Clock
compress_document = _compression.compress_document
Admission = _configuration.Admission
Configuration = _configuration.Configuration
ConfigurationAcknowledge = _documents.ConfigurationAcknowledge
RelayedConfiguration = _documents.RelayedConfiguration
ConfigurationRelay = _documents.ConfigurationRelay
RelayRequest = _documents.RelayRequest
ConfigurationError = _exceptions.ConfigurationError
ConfigurationPush = _documents.ConfigurationPush
ConfigurationRequest = _documents.ConfigurationRequest
count_gossip_rounds = _gossip.count_gossip_rounds
CowslipgateError = _exceptions.CowslipgateError
decode = _decoding.decode
decode_leases = _lease_rows.decode_leases
decode_members = _member_lists.decode_members
decode_message = _wire.decode_message
decode_rows = _decoding.decode_rows
describe_settings = _settings.describe_settings
digest_claim = _configuration.digest_claim
digest_members = _membership.digest_members
digest_token = _configuration.digest_token
Dispatch = _attempts.Dispatch
Document = _configuration.Document
DROPPED_LIFETIME = _executor.DROPPED_LIFETIME
encode_entry_identity = _sender_checks.encode_entry_identity
encode_identity = _wire.encode_identity
encode_lease = _lease_rows.encode_lease
encode_message = _wire.encode_message
EndRun = _run_records.EndRun
ENTRIES_TABLE = _lease_rows.ENTRIES_TABLE
ENTRY_LOST_AFTER = _executor.ENTRY_LOST_AFTER
ENVIRONMENT_PREFIX = _settings.ENVIRONMENT_PREFIX
EvacuationHeld = _evacuation_notices.EvacuationHeld
EvacuationNotice = _evacuation_notices.EvacuationNotice
Evacuations = _evacuations.Evacuations
EVERY_ATTEMPT = _sessions.EVERY_ATTEMPT
Executor = _executor.Executor
ExecutorAction = _executor_actions.ExecutorAction
ExecutorCounters = _executor.ExecutorCounters
decompress_document = _compression.decompress_document
FAILURE_MEMORY = _health.FAILURE_MEMORY
FailureWindow = _health.FailureWindow
Fault = _exceptions.Fault
find_holder = _configuration.find_holder
find_message_fault = _sender_checks.find_message_fault
find_quotas = _quotas.find_quotas
FIRST_QUARANTINE = _health.FIRST_QUARANTINE
FindDomain = _evacuations.FindDomain
Count = _fields.Count
covers_needs = _room.covers_needs
FLOOR_DIVISOR = _quotas.FLOOR_DIVISOR
FoundRoute = _routes.FoundRoute
Goodbye = _reports.Goodbye
Gossip = _reports.Gossip
GOSSIP_FANOUT = _gossip.GOSSIP_FANOUT
GOSSIP_INTERVAL = _gossip.GOSSIP_INTERVAL
HEARTBEAT_BYTES = _heartbeats.HEARTBEAT_BYTES
HEARTBEAT_BYTES_PER_SECOND = _heartbeats.HEARTBEAT_BYTES_PER_SECOND
HeldAttempt = _slots.HeldAttempt
HIDDEN = _settings.HIDDEN
JOBS_TO_QUARANTINE = _health.JOBS_TO_QUARANTINE
UnacknowledgedReport = _outcomes.UnacknowledgedReport
MEMBER_EXPIRES_AFTER = _gossip.MEMBER_EXPIRES_AFTER
EXPIRY_ROUNDS = _gossip.EXPIRY_ROUNDS
Lease = _quotas.Lease
LEASE_ABANDONED_AFTER = _quotas.LEASE_ABANDONED_AFTER
LEASE_EXPIRES_AFTER = _quotas.LEASE_EXPIRES_AFTER
LeaseExpiryDetector = _quotas.LeaseExpiryDetector
LIMITS_VALID_FOR = _validity.LIMITS_VALID_FOR
LimitValidity = _validity.LimitValidity
ListedEnd = _run_records.ListedEnd
Listing = _run_records.Listing
Load = _resources.Load
load_chart = _charts.load_chart
load_settings = _settings.load_settings
LONGEST_QUARANTINE = _health.LONGEST_QUARANTINE
LONGEST_RESEND = _outcomes.LONGEST_RESEND
LOST_HEARTBEATS = _heartbeats.LOST_HEARTBEATS
StateMachine = _charts.StateMachine
make_incarnation = _incarnations.make_incarnation
ManualClock = _clock.ManualClock
MAX_BATCH_BYTES = _batches.MAX_BATCH_BYTES
MAX_CANDIDATES = _membership.MAX_CANDIDATES
MAX_COLD_MS = _executor.MAX_COLD_MS
MAX_DOCUMENT_BYTES = _compression.MAX_DOCUMENT_BYTES
MAX_DOMAIN_BYTES = _evacuations.MAX_DOMAIN_BYTES
MAX_EVACUATED = _evacuations.MAX_EVACUATED
MAX_EVICTED = _sessions.MAX_EVICTED
MAX_KEPT_BYTES = _outcomes.MAX_KEPT_BYTES
MAX_PORT = _settings.MAX_PORT
MAX_REMEMBERED = _sessions.MAX_REMEMBERED
MAX_RESULT_BYTES = _batches.MAX_RESULT_BYTES
MAX_SESSIONS = _sessions.MAX_SESSIONS
MAX_TASKS = _configuration.MAX_TASKS
MAX_TRANSACTION_ROWS = _tables.MAX_TRANSACTION_ROWS
MAX_UNACKNOWLEDGED = _outcomes.MAX_UNACKNOWLEDGED
MESSAGE_TYPES = _wire.MESSAGE_TYPES
Member = _reports.Member
Membership = _membership.Membership
merge_patch = _configuration.merge_patch
name_flag = _settings.name_flag
name_lease = _lease_rows.name_lease
name_variable = _settings.name_variable
Operator = _configuration.Operator
Order = _attempts.Order
OUTAGE_CONFIRMED_AFTER = _validity.OUTAGE_CONFIRMED_AFTER
Outcome = _attempts.Outcome
OUTCOME_LIFETIME = _outcomes.OUTCOME_LIFETIME
Outcomes = _outcomes.Outcomes
StaleToken = _run_records.StaleToken
parse_advertised = _settings.parse_advertised
parse_bind = _settings.parse_bind
parse_chart = _charts.parse_chart
parse_choice = _settings.parse_choice
parse_configuration = _configuration.parse_configuration
parse_count = _settings.parse_count
parse_curve_key = _settings.parse_curve_key
parse_curve_keys = _settings.parse_curve_keys
parse_digest = _settings.parse_digest
parse_duration = _settings.parse_duration
parse_fraction = _settings.parse_fraction
parse_name = _settings.parse_name
parse_positive = _settings.parse_positive
parse_text = _settings.parse_text
PAUSE_AFTER = _pauses.PAUSE_AFTER
PAUSE_FRACTION = _executor.PAUSE_FRACTION
PauseLimits = _pauses.PauseLimits
Pauses = _pauses.Pauses
Pool = _targets.Pool
QuotaShares = _quotas.QuotaShares
RANDOM_BITS = _incarnations.RANDOM_BITS
Reason = _attempts.Reason
Release = _reports.Release
Replaced = _run_records.Replaced
Report = _reports.Report
REQUIRED = _settings.REQUIRED
RESEND_AFTER = _outcomes.RESEND_AFTER
RESEND_BATCH = _outcomes.RESEND_BATCH
Resources = _resources.Resources
Results = _attempts.Results
Room = _resources.Room
Route = _routes.Route
RouteTable = _routes.RouteTable
RunAction = _run_records.RunAction
RunBudget = _run_budgets.RunBudget
make_run_budget = _run_budgets.make_run_budget
RunTracker = _runs.RunTracker
RunEnd = _run_records.RunEnd
RunName = _run_records.RunName
RowFault = _tables.RowFault
SendReports = _executor_actions.SendReports
Sentinel = _settings.Sentinel
Service = _configuration.Service
Session = _sessions.Session
Sessions = _sessions.Sessions
setting = _settings.setting
SettingDescription = _settings.SettingDescription
SettingFault = _exceptions.SettingFault
SettingsError = _exceptions.SettingsError
Share = _quotas.Share
share_equally = _quotas.share_equally
SHORTEST_HEARTBEAT = _heartbeats.SHORTEST_HEARTBEAT
Slots = _slots.Slots
split_orders = _batches.split_orders
split_reports = _batches.split_reports
StartReply = _run_records.StartReply
StartTask = _executor_actions.StartTask
State = _charts.State
StopTask = _executor_actions.StopTask
StoredEvacuations = _evacuations.StoredEvacuations
compute_member_expiry = _gossip.compute_member_expiry
compute_lost_timeout = _heartbeats.compute_lost_timeout
compute_suspect_timeout = _heartbeats.compute_suspect_timeout
subtract_resources = _room.subtract_resources
SUSPECT_HEARTBEATS = _heartbeats.SUSPECT_HEARTBEATS
SystemClock = _clock.SystemClock
ANY_VERSION = _tables.ANY_VERSION
TableAnswer = _tables.TableAnswer
TableCall = _tables.TableCall
TableFollow = _tables.TableFollow
TableRead = _tables.TableRead
TableResult = _tables.TableResult
TableRow = _tables.TableRow
TableRowWrite = _tables.TableRowWrite
TableTransaction = _tables.TableTransaction
TableWrite = _tables.TableWrite
TargetState = _target_state.TargetState
TargetView = _targets.TargetView
Team = _configuration.Team
Text = _fields.Text
UNBOUNDED_SLOTS = _room.UNBOUNDED_SLOTS
UNLIMITED_SLOTS = _quotas.UNLIMITED_SLOTS
VersionWatch = _versions.VersionWatch
WatchReply = _run_records.WatchReply
WireError = _exceptions.WireError
Withdraw = _attempts.Withdraw

_ENTRY_NAMES = {
    "ACKNOWLEDGE_WITHIN": "jobs._acknowledgements",
    "Acknowledgements": "jobs._acknowledgements",
    "AGEING": "placement._job_order",
    "Forecast": "placement._overload",
    "compute_share": "placement._overload",
    "Queue": "placement._overload",
    "QueuedJob": "placement._overload",
    "Shares": "placement._shares",
    "StartRate": "placement._overload",
    "AgentRecord": "placement._roster",
    "AnswerJob": "jobs._ledger_actions",
    "Assigner": "placement._assignment",
    "Assignment": "placement._placement",
    "Attempt": "jobs._jobs",
    "HALF_WEIGHT_RUNS": "placement._sizes",
    "BINS": "placement._sizes",
    "BINS_PER_OCTAVE": "placement._sizes",
    "BUCKETS_PER_OCTAVE": "placement._sizes",
    "can_run": "placement._placement",
    "Interference": "placement._interference",
    "InterferingPair": "placement._interference",
    "is_unneeded": "placement._late_binding",
    "check_limits": "placement._admission",
    "check_wait": "placement._admission",
    "choose_assignments": "placement._placement",
    "choose_round_robin": "placement._round_robin",
    "choose_late_binding": "placement._late_binding",
    "choose_least_completion": "placement._least_completion",
    "choose_matching": "placement._matching",
    "choose_preemptions": "placement._preemption",
    "DEFAULT_TERMS": "jobs._jobs",
    "derive_span": "jobs._traceparents",
    "derive_traceparent": "jobs._traceparents",
    "Estimates": "placement._estimates",
    "decode_snapshots": "placement._estimate_snapshots",
    "encode_snapshot": "placement._estimate_snapshots",
    "ESTIMATES_TABLE": "placement._estimate_snapshots",
    "MAX_ROW_BYTES": "placement._estimate_snapshots",
    "HALF_LIFE": "placement._estimate_snapshots",
    "merge_snapshots": "placement._estimate_snapshots",
    "Snapshot": "placement._estimate_snapshots",
    "StoredHistory": "placement._sizes",
    "StoredSpeed": "placement._estimates",
    "take_snapshot": "placement._estimate_snapshots",
    "find_models": "placement._model_speeds",
    "LabelledTarget": "placement._model_speeds",
    "LabelledTargets": "placement._model_speeds",
    "find_claimants": "placement._preemption",
    "expect_others": "placement._staleness",
    "estimate_completion_seconds": "placement._least_completion",
    "Failure": "jobs._jobs",
    "UncheckedJobs": "placement._admission",
    "sort_jobs": "placement._job_order",
    "TaskFinder": "placement._late_binding",
    "MAX_HISTORY_RUNS": "placement._sizes",
    "REFRESH_GROWTH_FACTOR": "placement._sizes",
    "Job": "jobs._jobs",
    "JobAnswer": "jobs._jobs",
    "JobRequest": "jobs._jobs",
    "JobTerms": "jobs._jobs",
    "KIND_PRIOR_RUNS": "placement._estimates",
    "KIND_SHRINKAGE": "placement._estimates",
    "REPLACED_SHARE": "placement._staleness",
    "LateBinding": "placement._late_binding",
    "LeastCompletion": "placement._least_completion",
    "Ledger": "jobs._ledger",
    "LedgerAction": "jobs._ledger_actions",
    "LedgerCounters": "jobs._ledger_counters",
    "LONGEST_BIN": "placement._sizes",
    "MAX_BACKLOG_TIME": "placement._weights",
    "Matching": "placement._matching",
    "MAX_HISTORIES": "placement._sizes",
    "MAX_JOBS_TRIED": "placement._ready_jobs",
    "MAX_KINDS": "placement._interference",
    "MAX_PAIRS": "placement._interference",
    "MAX_KIND_SPEEDS": "placement._estimates",
    "MAX_OFFERS": "placement._admission",
    "MAX_RESIDUAL": "placement._estimates",
    "MAX_SPEEDS": "placement._estimates",
    "compute_horizon": "placement._matching",
    "merge_withdraws": "jobs._ledger_actions",
    "MIN_CONFIDENCE": "placement._estimates",
    "MIN_RUN_WEIGHT": "placement._estimates",
    "Neighbours": "placement._interference",
    "OfferHistory": "placement._admission",
    "OFFERS_KEPT_FOR": "placement._admission",
    "OverdueTasks": "placement._overdue",
    "parse_body": "jobs._bodies",
    "parse_job": "jobs._bodies",
    "parse_traceparent": "jobs._traceparents",
    "Policy": "placement._placement",
    "Preemption": "placement._preemption",
    "PRIOR_RUNS": "placement._estimates",
    "RANKING_INTERVAL": "placement._roster",
    "Refusal": "placement._admission",
    "Roster": "placement._roster",
    "RoundRobin": "placement._round_robin",
    "ReportPreemption": "jobs._ledger_actions",
    "ResumeJob": "jobs._ledger_actions",
    "RunningTask": "placement._preemption",
    "Separation": "placement._separation",
    "SendOrders": "jobs._ledger_actions",
    "SendSigns": "jobs._ledger_actions",
    "SendWithdraw": "jobs._ledger_actions",
    "SHORTEST_BIN": "placement._sizes",
    "SizeEstimate": "placement._sizes",
    "SizeTable": "placement._sizes",
    "Started": "jobs._jobs",
    "STOP_TIME": "placement._preemption",
    "SuspendJob": "jobs._ledger_actions",
    "take_task": "placement._placement",
    "TaskRequest": "jobs._jobs",
    "Timing": "jobs._timing",
    "Traceparent": "jobs._traceparents",
    "TREND_LIMIT": "placement._estimates",
    "TREND_RUN_WEIGHT": "placement._estimates",
    "tune_policy": "placement._weights",
    "UPPER_SHARE": "placement._sizes",
    "OFFERS_CONCLUSIVE_AFTER": "placement._admission",
    "WaitingJob": "placement._backlog",
    "WaitingTask": "placement._backlog",
}
"""Module of each public name that only entries use."""

_COMMAND_NAMES = {
    "check_document": "configuration._checks",
    "compare_documents": "configuration._checks",
    "Difference": "configuration._checks",
}
"""Module of each public name that only commands use."""


def __getattr__(name: str) -> object:
    module = _ENTRY_NAMES.get(name) or _COMMAND_NAMES.get(name)
    if module is None:
        raise AttributeError(name)
    value = getattr(importlib.import_module(f"{__name__}.{module}"), name)
    globals()[name] = value
    return value


def import_entry_modules() -> None:
    """Import all that an entry uses, before its threads start."""
    for name in _ENTRY_NAMES:
        __getattr__(name)
