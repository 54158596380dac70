"""Runs the command line with ``python -m teaseldale``."""

from teaseldale.command import main

if __name__ == '__main__':
    main()
