"""Which task goes where, and which job may enter."""
