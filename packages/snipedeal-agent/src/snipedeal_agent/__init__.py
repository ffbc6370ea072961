"""Sidecar process of each target, which decides what the target runs next."""
