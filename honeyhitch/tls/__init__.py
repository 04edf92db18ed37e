"""TLS towards partners: settings, trust and keys, a sans-I/O machine, sessions, and a handshake budget.

Off unless the operator's file has `[[tls.partner]]` or `[mqtt.tls]`. Nothing here opens a socket; the
transports are `transports/tls_*.py`. The design note is `docs/design/tls.md`.
"""
