"""The scheduler's own HTTP interface on the platform: jobs, reasons, hire sheet, state, metrics."""
