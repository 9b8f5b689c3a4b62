"""Entry point of the ``lacewingrudderd`` program."""

from .start_signals import handle_start_signals


def main() -> None:
    """Handle signals, then import and run the command: its imports take most of the start."""
    handle_start_signals()
    from .command import main as run_command

    run_command()


if __name__ == "__main__":
    main()
