"""What is spoken on the wire: protocol machines that are fed bytes and know no socket."""
