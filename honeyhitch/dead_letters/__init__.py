"""Dead letters: stores messages that ended undelivered, shows them, and resends them only by rule.

The design is docs/design/undelivered.md. The modules, from the event loop inwards:

- `service` connects a store to a running dispatcher, `commands` offers the store on the control socket, and
  `operations` implements the operators' requests to a store;
- `journal_transfer` moves messages from the journal into the store; `resend_scheduler` resends them, and
  `pacing`, `duplicate_index`, `rules` and `eligibility` decide when;
- `worker` is the thread that does all I/O of a store;
- `store` writes records and `reader` reads them; `resend_store`, `retention` and `key_rotation` are further
  operations on records; `connection`, `files` and `schema` open the database file;
- `records` defines the record; `record_codec`, `record_export`, `audit`, `filters` and `seal` convert records
  to their stored, exported and sealed forms; `report` sums records up for accountants.
"""
