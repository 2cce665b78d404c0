"""HTTP/1.1 on asyncio streams, as far as the soak's stand-ins and clients need it."""

import asyncio


class Closed(Exception):
    """The other side ended the connection before a whole message."""


async def read_head(reader):
    """The first line and the headers, names in lower case."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError) as ec:
        raise Closed(str(ec)) from ec
    lines = text.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    try:
        if "content-length" in headers:
            return await reader.readexactly(int(headers["content-length"]))
        return b""
    except (asyncio.IncompleteReadError, ConnectionError, OSError) as ec:
        raise Closed(str(ec)) from ec


def response(status, body=b"", headers=None):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def serve(ip, port, handle):
    """Calls `handle(method, target, headers, body, writer)` for each request; False ends the connection."""

    async def connection(reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(" ")
                body = await read_body(reader, headers)
                if not await handle(method, target, headers, body, writer):
                    break
                await writer.drain()
        except (Closed, ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connection, ip, port)


class Proxy:
    """A TCP proxy whose connections can be delayed, reset, cut one way or silenced."""

    def __init__(self, target):
        self.target = target
        self.delay = 0.0
        self.silent = False  # nothing passes, nothing is closed
        self.one_way = False  # nothing passes back
        self.writers = set()
        self.mute = set()  # writers on whose connections nothing passes any more
        self.server = None

    async def start(self, ip):
        self.server = await asyncio.start_server(self.accept, ip, 0)
        return self.server.sockets[0].getsockname()[1]

    def reset(self):
        for writer in list(self.writers):
            writer.transport.abort()

    def silence_open(self):
        """The connections that are open now go silent for good; new ones work."""
        self.mute |= self.writers

    async def accept(self, reader, writer):
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.close()
            return
        self.writers |= {writer, far_writer}
        try:
            await asyncio.gather(self.pump(reader, far_writer, False), self.pump(far_reader, writer, True))
        except asyncio.CancelledError:
            pass
        self.writers -= {writer, far_writer}
        self.mute -= {writer, far_writer}

    async def pump(self, reader, writer, back):
        try:
            while data := await reader.read(65536):
                while self.silent or writer in self.mute or (back and self.one_way):
                    await asyncio.sleep(0.05)
                if self.delay:
                    await asyncio.sleep(self.delay)
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError, asyncio.CancelledError):
            pass
        writer.close()
