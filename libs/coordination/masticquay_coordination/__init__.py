"""The control daemon: routing tables, host sessions and placement."""
