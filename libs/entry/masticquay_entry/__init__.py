"""Caller HTTP, authentication, dispatch, streaming and drain."""
