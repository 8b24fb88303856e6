"""What an agent holds: attempts, outcomes, its target and the runs there."""
