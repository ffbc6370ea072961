"""Provide the core library of the snipedeal router fleet."""

from snipedeal.clock import Clock as Clock
from snipedeal.exceptions import SnipedealError as SnipedealError

__version__ = "0.1.0"
