"""Records of jobs, their request bodies and the ledger that runs them."""
