"""Transport: sockets, HTTP servers and clients."""
