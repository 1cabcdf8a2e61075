"""Find how many calls a backend server can take from how it answers."""
