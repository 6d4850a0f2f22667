"""HTTP server, logs, counters and clock that the daemons share."""
