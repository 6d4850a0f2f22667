"""Routing tables and the routing of requests, without network access."""
