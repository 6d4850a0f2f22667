"""Replicated log (Raft): storage, elections, snapshots, replica changes."""
