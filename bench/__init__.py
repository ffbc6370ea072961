"""Measurements of speed, fairness and cost; CI does not judge them."""
