"""Stand-ins of the platform for the review's scripts."""
