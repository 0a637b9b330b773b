"""Stand-ins of the second review: a small deployment on loopback."""
