"""Stand-ins for the systems around cicadalever, for tests, benchmark and demo."""
