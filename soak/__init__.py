"""Soak test: real node processes under load, with faults injected from outside."""
