"""Log lines, metrics and traces of the entry."""
