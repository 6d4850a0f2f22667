"""Tables of routes and the decisions of a request, without a network."""
