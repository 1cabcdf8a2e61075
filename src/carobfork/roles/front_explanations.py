"""Explain for operators what an entry host would do with a request."""

from typing import TYPE_CHECKING, Any

from carobfork.gateway import call_previews

if TYPE_CHECKING:
    from carobfork.roles import front as front_role


def explain(
    front: 'front_role.FrontRole', request: call_previews.PreviewRequest
) -> dict[str, Any]:
    """Return where a call would go now, and what that is based on.

    :raises CarobforkError: if no route or tenant fits.
    """
    previewer = call_previews.CallPreviewer(front.relay, front.timer)
    return {
        **previewer.explain(request),
        'node': front.settings.node,
        'ready': front.is_ready(),
        'news_age_ms': round(front.updates.news_age_ms),
    }
