"""Command line for callers and operators."""
