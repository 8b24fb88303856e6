"""HTTP requests of callers and operators, and their answers."""
