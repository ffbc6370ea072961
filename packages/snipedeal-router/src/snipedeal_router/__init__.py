"""Router process and command line for operators."""
