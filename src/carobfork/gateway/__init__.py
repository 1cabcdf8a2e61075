"""HTTP gateway that routes callers' requests to backend servers."""
