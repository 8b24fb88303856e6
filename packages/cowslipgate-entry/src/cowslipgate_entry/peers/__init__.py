"""The other entries: gossip, leases and rows of members."""
