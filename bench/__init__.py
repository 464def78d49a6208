"""Scenarios, slopes and reports that measure cicadalever."""
