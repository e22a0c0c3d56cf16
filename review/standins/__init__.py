"""Stand-ins and drivers of the review's scripts."""
