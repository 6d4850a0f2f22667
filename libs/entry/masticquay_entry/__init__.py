"""The entry daemon: caller HTTP, authentication, dispatch and draining."""
