"""Scripts for development: test runner and benchmark report."""
