"""The core: it admits messages, starts calls, takes outcomes and gives final answers through ports."""
