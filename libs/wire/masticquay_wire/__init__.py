"""Typed CBOR messages and authenticated websocket peers."""
