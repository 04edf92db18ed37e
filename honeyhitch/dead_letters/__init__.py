"""Dead letters: messages that ended undelivered are stored, shown, and resent only by rule.

The design is docs/design/undelivered.md. The modules, from the event loop inwards:

- `service` binds a store to a running dispatcher, `commands` offers it on the control socket, and
  `operations` are what people ask of a store;
- `journal_transfer` moves messages from the journal into the store, `resend_scheduler` resends them, with
  `pacing`, `duplicate_index`, `rules` and `eligibility` to decide when;
- `worker` is the thread in which all I/O of a store is done;
- `store` writes records, `reader` reads them, `resend_store`, `retention` and `key_rotation` are further
  steps on them; `connection`, `files` and `schema` open the file;
- `records` has the record itself; `record_codec`, `record_export`, `audit`, `filters` and `seal` map it to
  its stored, exported and sealed forms; `report` sums it for accountants.
"""
