"""Placement of tasks on targets, and job admission."""
