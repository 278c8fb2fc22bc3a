"""Frames between nodes over TCP, and HTTP/1.1 served to clients, minions and operators."""
