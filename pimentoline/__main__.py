"""pimentoline.__main__: entry point of `python -m pimentoline`."""

from .cli import main

main()
