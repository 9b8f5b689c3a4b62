"""JSON Schemas of settings and notes."""
