"""`honeyhitch undelivered`: what an operator or an accountant asks of the store."""

from __future__ import annotations

import click

from honeyhitch.cli.undelivered import changing, looking
from honeyhitch.cli.undelivered.access import Access


@click.group()
@click.option("--config", "path", type=click.Path(), help="The JSON file; ROUTER_CONFIG names it otherwise.")
@click.option("--operator", type=click.Path(), help="An operator's TOML file; or ROUTER_OPERATOR names it.")
@click.option("--store", "folder", type=click.Path(), help="The store's folder; no dispatcher is asked then.")
@click.pass_context
def undelivered(context: click.Context, path: str | None, operator: str | None, folder: str | None) -> None:
    """Look at undelivered messages, and decide what becomes of them."""
    context.obj = lambda: Access(path, operator, folder)


for command in (
    looking.list_command,
    looking.show,
    looking.stats,
    looking.export,
    looking.verify,
    looking.audit,
    looking.state,
    looking.report,
    changing.discard,
    changing.settle,
    changing.release,
    changing.resend,
    changing.purge,
    changing.rekey,
):
    undelivered.add_command(command)
