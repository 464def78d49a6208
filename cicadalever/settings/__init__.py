"""The settings of one daemon."""

from ._settings import Settings, check_settings, load_settings

__all__ = ["Settings", "check_settings", "load_settings"]
