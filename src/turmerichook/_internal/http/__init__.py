"""HTTP/1.1 plumbing over h11 that all programs share."""
