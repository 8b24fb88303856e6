"""The operators' configuration: validation, routes and versions."""
