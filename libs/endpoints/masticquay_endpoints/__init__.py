"""HTTP clients of engines, services and the platform list."""
