"""Stand-in for the network: a TCP proxy that injects faults."""
