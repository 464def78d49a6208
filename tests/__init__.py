"""Tests of cicadalever."""
