"""Command-line entry point for ``python -m teaseldale``."""

from teaseldale.command import main

if __name__ == '__main__':
    main()
