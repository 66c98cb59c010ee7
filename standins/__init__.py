"""Stand-ins for the platform's services and for targets.

Tests, the soak, the bench and the demo use them.
"""
