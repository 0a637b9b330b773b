"""Transactional key-value storage: interface and an in-memory fake."""
