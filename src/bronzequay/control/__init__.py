"""The scheduler on the platform: term, journal, sessions with workers."""
