"""msgpack streams between the product's own processes."""
