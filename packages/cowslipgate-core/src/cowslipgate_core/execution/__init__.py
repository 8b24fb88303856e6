"""State of an agent: attempts, outcomes, its target and the runs there."""
