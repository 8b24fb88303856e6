"""What is told of the entry: log lines, metrics and traces."""
