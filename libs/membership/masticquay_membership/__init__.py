"""Session leases, views, watches and ownership."""
