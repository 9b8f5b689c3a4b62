"""The ``lwr`` command-line tool for operators."""
