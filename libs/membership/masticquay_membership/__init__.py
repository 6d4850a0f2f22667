"""A host's session with control, fleet views and resource ownership."""
