"""Configuration, patches and claims kept in the store."""
