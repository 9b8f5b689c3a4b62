"""Scripts for working on the project."""
