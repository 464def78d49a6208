"""Import of eventlet without its deprecation notice."""

import warnings

with warnings.catch_warnings():
    warnings.simplefilter("ignore")
    import eventlet

__all__ = ["eventlet"]
