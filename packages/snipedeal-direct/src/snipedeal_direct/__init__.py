"""Router that forwards HTTP requests to targets directly, without agents."""
