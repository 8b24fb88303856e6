"""Jobs from submission to answer: their records, bodies and the ledger."""
