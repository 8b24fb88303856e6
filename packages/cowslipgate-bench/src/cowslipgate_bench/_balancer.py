"""Stand-in for the platform's balancer: TCP to healthy entries in turn."""

import asyncio
import http

HEALTH_INTERVAL_SECONDS = 0.2
HEALTH_TIMEOUT_SECONDS = 1.0
READ_BYTES = 65_536


class Balancer:
    """TCP balancer over the entries whose health check passes."""

    def __init__(self, entries: list[int]) -> None:
        self._entries = entries
        self._healthy: list[int] = []
        self._turn = 0

    async def watch(self) -> None:
        """Check the health of every entry until cancelled."""
        while True:
            checks = [_is_healthy(port) for port in self._entries]
            results = await asyncio.gather(*checks)
            pairs = zip(self._entries, results, strict=True)
            self._healthy = [port for port, healthy in pairs if healthy]
            await asyncio.sleep(HEALTH_INTERVAL_SECONDS)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward one connection to the next entry, or close it."""
        # If every check failed, an entry may still accept connections.
        choices = self._healthy or self._entries
        self._turn += 1
        port = choices[self._turn % len(choices)]
        try:
            upstream = await asyncio.open_connection("127.0.0.1", port)
        except OSError:
            writer.close()
            return
        await asyncio.gather(
            _copy(reader, upstream[1]), _copy(upstream[0], writer)
        )


async def _copy(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    try:
        while data := await reader.read(READ_BYTES):
            writer.write(data)
            await writer.drain()
    except OSError:
        pass
    finally:
        writer.close()


async def _is_healthy(port: int) -> bool:
    try:
        async with asyncio.timeout(HEALTH_TIMEOUT_SECONDS):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(
                b"GET /v1/health HTTP/1.1\r\nHost: health\r\n"
                b"Connection: close\r\n\r\n"
            )
            line = await reader.readline()
            writer.close()
    except (OSError, TimeoutError):
        return False
    return str(http.HTTPStatus.OK.value).encode() in line.split()


async def _run(port: int, entries: list[int]) -> None:
    balancer = Balancer(entries)
    server = await asyncio.start_server(balancer.serve, "127.0.0.1", port)
    print(server.sockets[0].getsockname()[1], flush=True)
    await balancer.watch()


def run_balancer(port: int, entries: list[int]) -> None:
    """Serve on ``port`` and balance over the entries' ports."""
    asyncio.run(_run(port, entries))
