"""Decision logic and messages of cowslipgate.

This package has no sockets or threads; callers pass the time in.
"""

from cowslipgate_core import _charts
from cowslipgate_core import _clock
from cowslipgate_core import _exceptions
from cowslipgate_core import _incarnations
from cowslipgate_core import _settings
from cowslipgate_core.configuration import _compression
from cowslipgate_core.configuration import _configuration
from cowslipgate_core.configuration import _routes
from cowslipgate_core.configuration import _versions
from cowslipgate_core.execution import _executor
from cowslipgate_core.execution import _executor_actions
from cowslipgate_core.execution import _health
from cowslipgate_core.execution import _outcomes
from cowslipgate_core.execution import _run_records
from cowslipgate_core.execution import _runs
from cowslipgate_core.execution import _sessions
from cowslipgate_core.execution import _slots
from cowslipgate_core.execution import _target_state
from cowslipgate_core.jobs import _acknowledgements
from cowslipgate_core.jobs import _bodies
from cowslipgate_core.jobs import _jobs
from cowslipgate_core.jobs import _ledger
from cowslipgate_core.jobs import _ledger_actions
from cowslipgate_core.jobs import _ledger_counters
from cowslipgate_core.jobs import _timing
from cowslipgate_core.jobs import _traceparents
from cowslipgate_core.membership import _gossip
from cowslipgate_core.membership import _heartbeats
from cowslipgate_core.membership import _lease_rows
from cowslipgate_core.membership import _membership
from cowslipgate_core.membership import _quotas
from cowslipgate_core.membership import _validity
from cowslipgate_core.messages import _attempts
from cowslipgate_core.messages import _batches
from cowslipgate_core.messages import _cancels
from cowslipgate_core.messages import _documents
from cowslipgate_core.messages import _reports
from cowslipgate_core.messages import _resources
from cowslipgate_core.messages import _sender_checks
from cowslipgate_core.messages import _tables
from cowslipgate_core.messages import _wire
from cowslipgate_core.placement import _admission
from cowslipgate_core.placement import _assignment
from cowslipgate_core.placement import _backlog
from cowslipgate_core.placement import _estimates
from cowslipgate_core.placement import _late_binding
from cowslipgate_core.placement import _least_completion
from cowslipgate_core.placement import _matching
from cowslipgate_core.placement import _overdue
from cowslipgate_core.placement import _placement
from cowslipgate_core.placement import _ready_jobs
from cowslipgate_core.placement import _room
from cowslipgate_core.placement import _roster
from cowslipgate_core.placement import _round_robin
from cowslipgate_core.placement import _sizes
from cowslipgate_core.placement import _staleness
from cowslipgate_core.placement import _targets
from cowslipgate_core.placement import _weights

Acknowledge = _attempts.Acknowledge
ACKNOWLEDGE_WITHIN = _acknowledgements.ACKNOWLEDGE_WITHIN
Acknowledgements = _acknowledgements.Acknowledgements
add_resources = _room.add_resources
AGEING = _late_binding.AGEING
AgentRecord = _roster.AgentRecord
Announcement = _executor_actions.Announcement
AnswerJob = _ledger_actions.AnswerJob
Assigner = _assignment.Assigner
Assignment = _placement.Assignment
Attempt = _jobs.Attempt
AttemptKey = _executor_actions.AttemptKey
AttemptReport = _attempts.AttemptReport
Beat = _reports.Beat
HALF_WEIGHT_RUNS = _sizes.HALF_WEIGHT_RUNS
Bind = _settings.Bind
BINS = _sizes.BINS
BINS_PER_OCTAVE = _sizes.BINS_PER_OCTAVE
BodyError = _exceptions.BodyError
BUCKETS_PER_OCTAVE = _sizes.BUCKETS_PER_OCTAVE
CallStart = _run_records.CallStart
CallStop = _run_records.CallStop
CallWatch = _run_records.CallWatch
can_run = _placement.can_run
is_unneeded = _late_binding.is_unneeded
CancelReply = _cancels.CancelReply
CancelRequest = _cancels.CancelRequest
Candidates = _membership.Candidates
Chart = _charts.Chart
ChartError = _exceptions.ChartError
check_limits = _admission.check_limits
check_wait = _admission.check_wait
CheckedSettings = _settings.CheckedSettings
choose_assignments = _placement.choose_assignments
choose_entries = _membership.choose_entries
choose_heartbeat = _heartbeats.choose_heartbeat
choose_round_robin = _round_robin.choose_round_robin
choose_late_binding = _late_binding.choose_late_binding
choose_least_completion = _least_completion.choose_least_completion
choose_matching = _matching.choose_matching
choose_receivers = _gossip.choose_receivers
choose_slots = _quotas.choose_slots
choose_target = _quotas.choose_target
Clock = _clock.Clock
compress_document = _compression.compress_document
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
decode_leases = _lease_rows.decode_leases
decode_message = _wire.decode_message
DEFAULT_TERMS = _jobs.DEFAULT_TERMS
derive_span = _traceparents.derive_span
derive_traceparent = _traceparents.derive_traceparent
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
Estimates = _estimates.Estimates
EVERY_ATTEMPT = _sessions.EVERY_ATTEMPT
Executor = _executor.Executor
ExecutorAction = _executor_actions.ExecutorAction
ExecutorCounters = _executor.ExecutorCounters
decompress_document = _compression.decompress_document
expect_others = _staleness.expect_others
estimate_completion_seconds = _least_completion.estimate_completion_seconds
Failure = _jobs.Failure
FAILURE_MEMORY = _health.FAILURE_MEMORY
FailureWindow = _health.FailureWindow
Fault = _exceptions.Fault
UncheckedJobs = _admission.UncheckedJobs
find_holder = _configuration.find_holder
find_message_fault = _sender_checks.find_message_fault
find_quotas = _quotas.find_quotas
TaskFinder = _late_binding.TaskFinder
FIRST_QUARANTINE = _health.FIRST_QUARANTINE
covers_needs = _room.covers_needs
FLOOR_DIVISOR = _quotas.FLOOR_DIVISOR
FoundRoute = _routes.FoundRoute
MAX_HISTORY_RUNS = _sizes.MAX_HISTORY_RUNS
Goodbye = _reports.Goodbye
Gossip = _reports.Gossip
GOSSIP_FANOUT = _gossip.GOSSIP_FANOUT
GOSSIP_INTERVAL = _gossip.GOSSIP_INTERVAL
REFRESH_GROWTH_FACTOR = _sizes.REFRESH_GROWTH_FACTOR
HEARTBEAT_BYTES = _heartbeats.HEARTBEAT_BYTES
HEARTBEAT_BYTES_PER_SECOND = _heartbeats.HEARTBEAT_BYTES_PER_SECOND
HeldAttempt = _slots.HeldAttempt
HIDDEN = _settings.HIDDEN
Job = _jobs.Job
JobAnswer = _jobs.JobAnswer
JobRequest = _jobs.JobRequest
JOBS_TO_QUARANTINE = _health.JOBS_TO_QUARANTINE
JobTerms = _jobs.JobTerms
UnacknowledgedReport = _outcomes.UnacknowledgedReport
KIND_PRIOR_RUNS = _estimates.KIND_PRIOR_RUNS
KIND_SHRINKAGE = _estimates.KIND_SHRINKAGE
MEMBER_EXPIRES_AFTER = _gossip.MEMBER_EXPIRES_AFTER
EXPIRY_ROUNDS = _gossip.EXPIRY_ROUNDS
REPLACED_SHARE = _staleness.REPLACED_SHARE
LateBinding = _late_binding.LateBinding
Lease = _quotas.Lease
LEASE_ABANDONED_AFTER = _quotas.LEASE_ABANDONED_AFTER
LEASE_EXPIRES_AFTER = _quotas.LEASE_EXPIRES_AFTER
LeaseExpiryDetector = _quotas.LeaseExpiryDetector
LeastCompletion = _least_completion.LeastCompletion
Ledger = _ledger.Ledger
LedgerAction = _ledger_actions.LedgerAction
LedgerCounters = _ledger_counters.LedgerCounters
LIMITS_VALID_FOR = _validity.LIMITS_VALID_FOR
LimitValidity = _validity.LimitValidity
ListedEnd = _run_records.ListedEnd
Listing = _run_records.Listing
Load = _resources.Load
load_chart = _charts.load_chart
load_settings = _settings.load_settings
LONGEST_BIN = _sizes.LONGEST_BIN
MAX_BACKLOG_TIME = _weights.MAX_BACKLOG_TIME
LONGEST_QUARANTINE = _health.LONGEST_QUARANTINE
LONGEST_RESEND = _outcomes.LONGEST_RESEND
LOST_HEARTBEATS = _heartbeats.LOST_HEARTBEATS
StateMachine = _charts.StateMachine
make_incarnation = _incarnations.make_incarnation
ManualClock = _clock.ManualClock
Matching = _matching.Matching
MAX_BATCH_BYTES = _batches.MAX_BATCH_BYTES
MAX_CANDIDATES = _membership.MAX_CANDIDATES
MAX_DOCUMENT_BYTES = _compression.MAX_DOCUMENT_BYTES
MAX_EVICTED = _sessions.MAX_EVICTED
MAX_HISTORIES = _sizes.MAX_HISTORIES
MAX_JOBS_TRIED = _ready_jobs.MAX_JOBS_TRIED
MAX_KEPT_BYTES = _outcomes.MAX_KEPT_BYTES
MAX_KIND_SPEEDS = _estimates.MAX_KIND_SPEEDS
MAX_OFFERS = _admission.MAX_OFFERS
MAX_PORT = _settings.MAX_PORT
MAX_REMEMBERED = _sessions.MAX_REMEMBERED
MAX_RESIDUAL = _estimates.MAX_RESIDUAL
MAX_RESULT_BYTES = _batches.MAX_RESULT_BYTES
MAX_SESSIONS = _sessions.MAX_SESSIONS
MAX_SPEEDS = _estimates.MAX_SPEEDS
MAX_TASKS = _configuration.MAX_TASKS
MAX_UNACKNOWLEDGED = _outcomes.MAX_UNACKNOWLEDGED
compute_horizon = _matching.compute_horizon
MESSAGE_TYPES = _wire.MESSAGE_TYPES
Member = _reports.Member
Membership = _membership.Membership
merge_patch = _configuration.merge_patch
merge_withdraws = _ledger_actions.merge_withdraws
MIN_CONFIDENCE = _estimates.MIN_CONFIDENCE
MIN_RUN_WEIGHT = _estimates.MIN_RUN_WEIGHT
name_flag = _settings.name_flag
name_lease = _lease_rows.name_lease
name_variable = _settings.name_variable
OfferHistory = _admission.OfferHistory
OFFERS_KEPT_FOR = _admission.OFFERS_KEPT_FOR
Operator = _configuration.Operator
Order = _attempts.Order
OUTAGE_CONFIRMED_AFTER = _validity.OUTAGE_CONFIRMED_AFTER
Outcome = _attempts.Outcome
OUTCOME_LIFETIME = _outcomes.OUTCOME_LIFETIME
Outcomes = _outcomes.Outcomes
StaleToken = _run_records.StaleToken
OverdueTasks = _overdue.OverdueTasks
parse_advertised = _settings.parse_advertised
parse_bind = _settings.parse_bind
parse_body = _bodies.parse_body
parse_chart = _charts.parse_chart
parse_choice = _settings.parse_choice
parse_configuration = _configuration.parse_configuration
parse_count = _settings.parse_count
parse_curve_key = _settings.parse_curve_key
parse_curve_keys = _settings.parse_curve_keys
parse_digest = _settings.parse_digest
parse_duration = _settings.parse_duration
parse_fraction = _settings.parse_fraction
parse_job = _bodies.parse_job
parse_name = _settings.parse_name
parse_positive = _settings.parse_positive
parse_text = _settings.parse_text
parse_traceparent = _traceparents.parse_traceparent
PAUSE_FRACTION = _executor.PAUSE_FRACTION
Policy = _placement.Policy
Pool = _targets.Pool
PRIOR_RUNS = _estimates.PRIOR_RUNS
QuotaShares = _quotas.QuotaShares
RANDOM_BITS = _incarnations.RANDOM_BITS
RANKING_INTERVAL = _roster.RANKING_INTERVAL
Reason = _attempts.Reason
Refusal = _admission.Refusal
Release = _reports.Release
Replaced = _run_records.Replaced
Report = _reports.Report
REQUIRED = _settings.REQUIRED
RESEND_AFTER = _outcomes.RESEND_AFTER
RESEND_BATCH = _outcomes.RESEND_BATCH
Resources = _resources.Resources
Results = _attempts.Results
Room = _resources.Room
Roster = _roster.Roster
RoundRobin = _round_robin.RoundRobin
Route = _routes.Route
RouteTable = _routes.RouteTable
RunAction = _run_records.RunAction
RunTracker = _runs.RunTracker
RunEnd = _run_records.RunEnd
RunName = _run_records.RunName
SendOrders = _ledger_actions.SendOrders
SendReports = _executor_actions.SendReports
SendWithdraw = _ledger_actions.SendWithdraw
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
SHORTEST_BIN = _sizes.SHORTEST_BIN
SHORTEST_HEARTBEAT = _heartbeats.SHORTEST_HEARTBEAT
SizeEstimate = _sizes.SizeEstimate
SizeTable = _sizes.SizeTable
Slots = _slots.Slots
split_orders = _batches.split_orders
split_reports = _batches.split_reports
Started = _jobs.Started
StartReply = _run_records.StartReply
StartTask = _executor_actions.StartTask
State = _charts.State
StopTask = _executor_actions.StopTask
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
TableWrite = _tables.TableWrite
take_task = _placement.take_task
TargetState = _target_state.TargetState
TargetView = _targets.TargetView
TaskRequest = _jobs.TaskRequest
Team = _configuration.Team
Timing = _timing.Timing
Traceparent = _traceparents.Traceparent
TREND_LIMIT = _estimates.TREND_LIMIT
TREND_RUN_WEIGHT = _estimates.TREND_RUN_WEIGHT
tune_policy = _weights.tune_policy
UNBOUNDED_SLOTS = _room.UNBOUNDED_SLOTS
UNLIMITED_SLOTS = _quotas.UNLIMITED_SLOTS
UPPER_SHARE = _sizes.UPPER_SHARE
VersionWatch = _versions.VersionWatch
OFFERS_CONCLUSIVE_AFTER = _admission.OFFERS_CONCLUSIVE_AFTER
WaitingJob = _backlog.WaitingJob
WaitingTask = _backlog.WaitingTask
WatchReply = _run_records.WatchReply
WireError = _exceptions.WireError
Withdraw = _attempts.Withdraw
