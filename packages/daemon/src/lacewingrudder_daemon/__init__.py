"""The lacewingrudderd process: sockets, files and tasks around the decision cores."""
