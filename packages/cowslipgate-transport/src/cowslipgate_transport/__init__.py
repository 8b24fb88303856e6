"""Circuits components that own HTTP and ZeroMQ sockets."""

from cowslipgate_transport import _changes
from cowslipgate_transport import _curve
from cowslipgate_transport import _event_loop
from cowslipgate_transport import _exposition
from cowslipgate_transport import _file_watch
from cowslipgate_transport import _hang_ups
from cowslipgate_transport import _http_calls
from cowslipgate_transport import _http_client
from cowslipgate_transport import _http_exchanges
from cowslipgate_transport import _http_server
from cowslipgate_transport import _logs
from cowslipgate_transport import _message_socket
from cowslipgate_transport import _metrics_page
from cowslipgate_transport import _passed_over
from cowslipgate_transport import _table_events
from cowslipgate_transport import _timer

Address = _http_calls.Address
Answer = _http_exchanges.Answer
answer_http = _http_exchanges.answer_http
answer_rest_http = _http_exchanges.answer_rest_http
apply_curve = _curve.apply_curve
Call = _http_calls.Call
call_http = _http_client.call_http
call_table = _table_events.call_table
CallAnswer = _http_calls.CallAnswer
CallFailure = _http_calls.CallFailure
CallProblem = _http_calls.CallProblem
callers_seen = _http_exchanges.callers_seen
check_callers = _http_exchanges.check_callers
cancel_http = _http_client.cancel_http
Change = _changes.Change
changed = _changes.changed
check_calls = _http_client.check_calls
check_connections = _http_exchanges.check_connections
close_http = _http_exchanges.close_http
close_idle_http = _http_exchanges.close_idle_http
Countdown = _timer.Countdown
Counter = _exposition.Counter
CurveKeys = _curve.CurveKeys
derive_public_key = _curve.derive_public_key
drain_http = _http_exchanges.drain_http
Exchange = _http_exchanges.Exchange
Family = _exposition.Family
FeatureEnabled = _changes.FeatureEnabled
file_changed = _file_watch.file_changed
FileWatch = _file_watch.FileWatch
Gauge = _exposition.Gauge
get_level = _changes.get_level
HangUpWatch = _hang_ups.HangUpWatch
has_hung_up = _hang_ups.has_hung_up
http_abandoned = _http_exchanges.http_abandoned
http_answered = _http_client.http_answered
http_failed = _http_client.http_failed
http_refused = _http_exchanges.http_refused
http_requested = _http_exchanges.http_requested
HttpClient = _http_client.HttpClient
HttpServer = _http_server.HttpServer
key_denied = _curve.key_denied
KeyCheck = _curve.KeyCheck
LinesDropped = _changes.LinesDropped
Logs = _logs.Logs
MAX_ANSWER_BYTES = _http_client.MAX_ANSWER_BYTES
measure_traffic = _message_socket.measure_traffic
message_malformed = _message_socket.message_malformed
message_received = _message_socket.message_received
message_unsent = _message_socket.message_unsent
MessagePassedOver = _changes.MessagePassedOver
MessagesPassedOver = _passed_over.MessagesPassedOver
MessageSocket = _message_socket.MessageSocket
METRICS_CONTENT_TYPE = _exposition.CONTENT_TYPE
MetricsPage = _metrics_page.MetricsPage
open_dealer = _message_socket.open_dealer
open_router = _message_socket.open_router
parse_address = _http_calls.parse_address
peer_connected = _message_socket.peer_connected
peer_disconnected = _message_socket.peer_disconnected
Process = _event_loop.Process
ProcessStarted = _changes.ProcessStarted
ProcessStopping = _changes.ProcessStopping
render_families = _exposition.render_families
RowPassedOver = _changes.RowPassedOver
RowsPassedOver = _passed_over.RowsPassedOver
send_message = _message_socket.send_message
ServerLimits = _http_exchanges.ServerLimits
SettingsChanged = _changes.SettingsChanged
SettingsRejected = _changes.SettingsRejected
Summary = _exposition.Summary
table_answered = _table_events.table_answered
Timer = _timer.Timer
Traffic = _message_socket.Traffic
