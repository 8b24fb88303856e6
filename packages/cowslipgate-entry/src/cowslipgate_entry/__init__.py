"""The entry process and the commands of callers and operators."""

from cowslipgate_entry import _settings

EntrySettings = _settings.EntrySettings
