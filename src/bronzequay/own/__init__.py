"""Read-only HTTP interface on an instance's own port: jobs, reasons, hire sheet, state, metrics."""
