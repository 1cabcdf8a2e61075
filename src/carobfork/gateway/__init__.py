"""Gateway: routes callers' HTTP requests to backend servers."""
