"""Transactional key-value storage: interface, clients and a test fake."""
