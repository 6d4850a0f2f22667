"""The replicated state machine and its services."""
