"""Delivery decisions: endpoint choice, send times, retries and rejections, without I/O or a clock."""
