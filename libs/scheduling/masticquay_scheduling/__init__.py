"""Pools, reservations, fair queue, prefix index and rates."""
