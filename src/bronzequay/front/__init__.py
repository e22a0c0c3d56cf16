"""HTTP interface for callers on the platform; a job is accepted by one conditional write."""
