"""The ``masticquay`` command line for operators."""
