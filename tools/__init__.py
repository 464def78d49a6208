"""Programs for developing the project."""
