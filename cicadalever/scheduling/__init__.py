"""Decisions about which work runs, where and when."""

from ._rank import Rank

__all__ = ["Rank"]
