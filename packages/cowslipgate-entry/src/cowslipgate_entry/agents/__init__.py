"""Attempts sent to agents, and the messages of agents."""
