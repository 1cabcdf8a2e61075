"""Protocol: how requests, events and records look outside the process."""
