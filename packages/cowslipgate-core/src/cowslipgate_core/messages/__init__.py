"""What processes tell each other and the store, and its encoding."""
