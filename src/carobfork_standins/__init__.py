"""Stand-ins for the outside systems, and a lab that runs them."""
