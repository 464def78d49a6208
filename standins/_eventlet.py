"""Imports eventlet without its deprecation warning."""

import warnings

with warnings.catch_warnings():
    warnings.simplefilter("ignore")
    import eventlet

__all__ = ["eventlet"]
