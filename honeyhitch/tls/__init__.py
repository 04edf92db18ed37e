"""TLS towards partners: settings, trust and keys, a sans-IO machine, sessions, and a budget of handshakes.

Off unless the operator's file has `[[tls.partner]]` or `[mqtt.tls]`. Nothing here opens a socket; the drivers
are `wire/drivers/channel.py` and `wire/drivers/tls_members.py`. The design note is `docs/design/tls.md`.
"""
