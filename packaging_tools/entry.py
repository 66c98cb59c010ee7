"""Entry point of the single-file program."""

from pimentoline.cli import main

main()
