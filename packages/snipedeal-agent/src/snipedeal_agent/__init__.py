"""The process beside each target: decides what the target runs next."""
