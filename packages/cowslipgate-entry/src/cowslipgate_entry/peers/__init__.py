"""Membership of entries: gossip, leases and rows of members."""
