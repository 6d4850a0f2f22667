"""Load generator, trace replay and reports."""
