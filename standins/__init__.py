"""Small stand-ins for the fabric, the targets and the callers; they hold no product logic."""
