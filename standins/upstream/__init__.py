"""Stand-in for upstreams: many replicas in one process, with a ledger of their runs."""
