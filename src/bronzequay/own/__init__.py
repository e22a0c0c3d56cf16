"""The project's own interface on the platform: jobs, reasons, hire sheet, state, metrics."""
