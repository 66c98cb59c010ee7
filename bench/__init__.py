"""Load generator, experiments and reports."""
