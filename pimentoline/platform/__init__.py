"""pimentoline.platform: runs a `pimentoline.twohop` node on the deployment platform.

The modules only convert the platform's settings, store, configuration, heartbeats and
header names to and from the types of `pimentoline.twohop`.
"""
