"""Entry daemon, independent of the protocols of callers and endpoints."""
