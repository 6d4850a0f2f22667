"""Replicated log: storage, election, snapshots, replica change."""
