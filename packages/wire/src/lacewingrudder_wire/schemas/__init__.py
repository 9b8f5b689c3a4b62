"""JSON Schemas of settings, release notes and target announcements."""
