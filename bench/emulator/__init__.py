"""Emulator of calls through two nodes.

The decisions are those of `pimentoline.twohop`. Targets, network and callers are
models in simulated time.
"""
