"""Tools that build the single-file program."""
