"""pimentoline.platform: runs a node on the users' platform.

Only translation: the platform's settings, store, configuration, status reports and
header names become the product's own types, and back.
"""
