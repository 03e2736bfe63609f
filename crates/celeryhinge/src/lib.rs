//! A dispatcher for sub-second tasks: coordination parts and thin daemons.
