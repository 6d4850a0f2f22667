"""The control daemon: tables, hosts, endpoint list and placements."""
