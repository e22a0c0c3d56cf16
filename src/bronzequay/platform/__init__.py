"""Adapter to the users' platform: key names, wire formats and calls, without any policy."""
