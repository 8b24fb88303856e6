"""Messages between processes and to the store, and their encoding."""
