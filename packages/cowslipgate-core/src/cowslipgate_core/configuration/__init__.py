"""The operators' configuration: checks, routes and versions."""
