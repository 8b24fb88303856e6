"""What lasts: configuration, patches and claims in the store."""
