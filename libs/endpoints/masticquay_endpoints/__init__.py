"""Clients of engines, services, the weight store and the platform list."""
