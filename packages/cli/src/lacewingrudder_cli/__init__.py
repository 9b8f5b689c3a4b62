"""The lwr command for operators."""
