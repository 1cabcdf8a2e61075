"""Platform: names, formats and calls of the users' platform."""
