"""Streams of msgpack messages between turmerichook's processes."""
