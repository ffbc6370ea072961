"""Router that forwards HTTP requests to targets itself, without agents."""
