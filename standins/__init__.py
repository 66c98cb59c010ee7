"""Stand-ins for the platform's services and for targets, for tests and the demo."""
