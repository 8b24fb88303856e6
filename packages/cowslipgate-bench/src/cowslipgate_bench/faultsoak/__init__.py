"""Both programs as processes behind ``platform/``, and faults from outside.

Callers, targets, the store and the operator are stand-ins that speak the
platform's protocols; each party but the agents' links to entries is reached
through a proxy that delays, silences, cuts one way and resets.
"""

from cowslipgate_platform.tests import calls
from cowslipgate_platform.tests import store_standin
from cowslipgate_platform.tests import target_standin

from cowslipgate_bench.faultsoak import _deployment
from cowslipgate_bench.faultsoak import _judge
from cowslipgate_bench.faultsoak import _nodes
from cowslipgate_bench.faultsoak import _soak

Deployment = _deployment.Deployment
JobSpec = calls.JobSpec
Ledger = _soak.Ledger
Node = _nodes.Node
Reply = calls.Reply
Role = _nodes.Role
Run = target_standin.Run
STOP_SECONDS = _deployment.STOP_SECONDS
Sent = _judge.Sent
StoreFault = store_standin.StoreFault
TargetFault = target_standin.TargetFault
find_violations = _judge.find_violations
is_ready = calls.is_ready
play_seed = _soak.play_seed
print_soak = _soak.print_soak
