"""HTTP server, logging, metrics and clock shared by the daemons."""
