"""Control: the replicated state of the fleet and the service around it."""
