"""Account for the bytes that a host holds for its peers."""
