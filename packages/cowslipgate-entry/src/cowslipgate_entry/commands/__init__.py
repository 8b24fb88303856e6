"""Commands of callers and operators."""
