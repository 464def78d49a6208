"""Stand-in for the platform: the ordered log of patches and the host list."""
