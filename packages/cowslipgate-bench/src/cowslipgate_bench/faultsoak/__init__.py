"""Fault injection into entry and agent processes behind ``platform/``.

Callers, targets, the store and the operator are stand-ins that speak the
platform's protocols. All links, except those between agents and entries in a
large fleet, pass a proxy that delays, holds back, cuts in one direction or
resets.
"""

from cowslipgate_platform.tests import calls
from cowslipgate_platform.tests import store_standin
from cowslipgate_platform.tests import target_standin

from cowslipgate_bench.faultsoak import _deployment
from cowslipgate_bench.faultsoak import _nodes
from cowslipgate_bench.faultsoak import _soak
from cowslipgate_bench.faultsoak import _violations

Deployment = _deployment.Deployment
Fleet = _soak.Fleet
JobSpec = calls.JobSpec
SoakResult = _soak.SoakResult
Node = _nodes.Node
Reply = calls.Reply
Role = _nodes.Role
Run = target_standin.Run
STOP_SECONDS = _deployment.STOP_SECONDS
SentJob = _violations.SentJob
StoreFault = store_standin.StoreFault
TargetFault = target_standin.TargetFault
find_violations = _violations.find_violations
is_ready = calls.is_ready
run_seed = _soak.run_seed
print_soak = _soak.print_soak
