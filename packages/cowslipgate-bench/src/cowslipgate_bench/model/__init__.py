"""A discrete-event simulation of a deployment, without sockets.

Entries run the product's ledger and agents its executor; the network, the
targets and the callers are simulated. A day of a site takes seconds.
"""

from cowslipgate_bench.model import _bound
from cowslipgate_bench.model import _day
from cowslipgate_bench.model import _experiment
from cowslipgate_bench.model import _loop
from cowslipgate_bench.model import _sites
from cowslipgate_bench.model import _traffic

Day = _day.Day
DayFigures = _day.DayFigures
Experiment = _experiment.Experiment
Plan = _experiment.Plan
Loop = _loop.Loop
Pattern = _sites.Pattern
PATTERNS = _sites.PATTERNS
SITES = _sites.SITES
VARIANTS = _experiment.VARIANTS
Site = _sites.Site
bound_worth = _bound.bound_worth
make_traffic = _traffic.make_traffic
simulate_day = _day.simulate_day
run_experiment = _experiment.run_experiment
format_bounds = _experiment.format_bounds
format_row = _experiment.format_row
format_table = _experiment.format_table
write_report = _experiment.write_report
