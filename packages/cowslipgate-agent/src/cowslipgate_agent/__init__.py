"""The process that runs beside each target."""

from cowslipgate_agent import _process
from cowslipgate_agent import _settings

AgentSettings = _settings.AgentSettings
build_agent = _process.build_agent
