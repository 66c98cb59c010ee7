"""Emulator of calls that pass the node of the caller and the node of the target.

The nodes decide with the code of `pimentoline.twohop`. Targets, network and callers are
models in simulated time.
"""
