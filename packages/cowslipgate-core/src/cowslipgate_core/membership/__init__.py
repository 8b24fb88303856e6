"""Which entries live, and how their shares are divided."""
