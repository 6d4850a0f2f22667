"""Bundle schema, checks, digests, signatures and settings."""
