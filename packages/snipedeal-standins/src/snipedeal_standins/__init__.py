"""Stand-ins for the platform and its targets, for tests, demo and bench."""
