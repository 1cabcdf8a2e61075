"""Run one stand-in: ``python -m carobfork_standins KIND SETTINGS``."""

from gevent import monkey

monkey.patch_all()

import sys  # noqa: E402

from carobfork import daemons, exceptions  # noqa: E402
from carobfork.commands import outputs  # noqa: E402
from carobfork.protocol import documents  # noqa: E402
from carobfork.transport import servers  # noqa: E402
from carobfork_standins import engine, platform, service  # noqa: E402

KINDS = {  # noqa: WPS407
    'engine': (engine.EngineSettings, engine.EngineApplication),
    'platform': (platform.PlatformSettings, platform.PlatformApplication),
    'service': (service.ServiceSettings, service.ServiceApplication),
}


def main() -> int:
    """Serve one stand-in until it is told to stop.

    ``check KIND SETTINGS`` only checks the settings.
    """
    *checking, kind, path = sys.argv[1:]
    settings_class, application_class = KINDS[kind]
    try:
        settings = documents.load(path, settings_class)
    except exceptions.SettingsError as error:
        outputs.print_error(error, as_json=False)
        return outputs.exit_code(error)
    if not checking:
        application = application_class(settings)
        # A watch may wait long after its reader has gone.
        server = servers.HttpServer(
            settings.address, application, stop_timeout_ms=0
        )
        daemons.run_until_stopped(server)
    return 0


if __name__ == '__main__':
    sys.exit(main())
