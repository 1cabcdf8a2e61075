"""Decide which backend servers may write a stream.

What servers of two software versions write doesn't fit together, and they
don't check it. So a stream goes on only at servers of the version that began
it. The hosts of all its attempts know that version from a record that store
hosts keep; a stream without a record goes on nowhere.
"""

from carobfork import exceptions
from carobfork.gateway import contexts, worker_tables, workers
from carobfork.storage import messages

_STEP = 'resume'


class StreamVersionError(exceptions.NotRunError):
    """It is unknown which servers may go on with the stream, or none may."""

    code = 'stream_version'


def choose_version(
    context: contexts.RequestContext, worker: workers.Worker | None
) -> messages.StreamVersion | None:
    """Return the version to record for a stream that begins.

    Return ``None`` if the request begins no stream that can be resumed.

    :param worker: the worker that it will probably run on, if there is one.
    """
    if not context.route.is_resumable or context.resumes_stream:
        return None
    return messages.StreamVersion(
        context.service, worker.entry.version if worker else ''
    )


def require_origin(
    context: contexts.RequestContext, table: worker_tables.WorkerTable
) -> None:
    """Let only servers of its service and version go on with a stream.

    :param context: a request that resumes a stream; its turn is open.
    :raises StreamVersionError: if they are unknown, or there are none.
    """
    origin = context.turn.origin
    if origin is None or not origin.version:
        raise StreamVersionError(
            'no record tells which version began the stream of attempt'
            f' {context.call.resumes!r}',
            step=_STEP,
            peer=context.service,
        )
    if not context.route.may_use(origin.service):
        raise StreamVersionError(
            f'the stream began at service {origin.service!r}, which route'
            f' {context.route.name!r} does not use any more',
            step=_STEP,
            peer=origin.service,
        )
    context.service = origin.service
    context.require_version(origin.version)
    if not table.usable(origin.service, origin.version):
        raise StreamVersionError(
            f'no server has version {origin.version!r}, which began the stream'
            f' of attempt {context.call.resumes!r}',
            step=_STEP,
            peer=origin.service,
        )
