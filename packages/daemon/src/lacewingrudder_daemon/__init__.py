"""The lacewingrudderd daemon: the sockets, files and tasks that drive the decision cores."""
