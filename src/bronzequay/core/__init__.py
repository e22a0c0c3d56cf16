"""Pure scheduling core: state and events in, durable records and commands out, no I/O."""
