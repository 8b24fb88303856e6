"""The entry process and the commands of callers and operators."""

from cowslipgate_entry import _process
from cowslipgate_entry import _settings

build_entry = _process.build_entry
EntrySettings = _settings.EntrySettings
