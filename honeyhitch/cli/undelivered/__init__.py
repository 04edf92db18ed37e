"""`honeyhitch undelivered`: commands with which operators and accountants query and change the store."""

from __future__ import annotations

import click

from honeyhitch.cli.undelivered import changes, exports, queries
from honeyhitch.cli.undelivered.store_access import StoreAccess


@click.group()
@click.option("--config", "path", type=click.Path(), help="The JSON file; ROUTER_CONFIG names it otherwise.")
@click.option("--operator", type=click.Path(), help="An operator's TOML file; or ROUTER_OPERATOR names it.")
@click.option(
    "--store", "directory", type=click.Path(), help="The store's folder; no dispatcher is asked then."
)
@click.pass_context
def undelivered(
    context: click.Context, path: str | None, operator: str | None, directory: str | None
) -> None:
    """Look at undelivered messages, and decide what becomes of them."""
    context.obj = lambda: StoreAccess(path, operator, directory)


for command in (
    queries.list_command,
    queries.show,
    queries.stats,
    exports.export,
    queries.verify,
    queries.audit,
    queries.state,
    exports.report,
    changes.discard,
    changes.settle,
    changes.release,
    changes.resend,
    changes.purge,
    changes.rekey,
):
    undelivered.add_command(command)
