"""Requests of callers and operators, and the answers to them."""
