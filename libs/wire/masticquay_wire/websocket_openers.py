"""Opens and serves the websockets under all links."""

import contextlib
import socket
import threading
import typing

from websockets.sync import client
from websockets.sync import connection
from websockets.sync import server

from masticquay_wire import handshakes
from masticquay_wire import peers
from masticquay_wire import sockets

# What is read ahead while nobody takes it: the default of the library.
MAX_QUEUED_FRAMES = 16


def open_websocket(
    stack: contextlib.ExitStack,
    address: peers.Address,
    compression: str | None = None,
    max_queued_frames: int = MAX_QUEUED_FRAMES,
) -> connection.Connection:
    """Opens a websocket, which has not authenticated yet.

    :param stack: closes it
    :param max_queued_frames: that are read before anybody takes them
    :raises OSError: when the listener cannot be reached
    :raises WebSocketException: when it is no websocket listener
    """
    sock = socket.create_connection(
        (address.host, address.port),
        timeout=peers.CONNECT_TIMEOUT_MS / 1000,
    )
    stack.callback(sock.close)
    sock.settimeout(None)
    sockets.set_options(sock)
    return stack.enter_context(
        client.connect(
            f'ws://{address}/',
            sock=sock,
            compression=compression,
            proxy=None,
            open_timeout=peers.DIAL_TIMEOUT_MS / 1000,
            ping_interval=None,
            close_timeout=peers.CLOSE_TIMEOUT_MS / 1000,
            max_size=handshakes.MAX_HANDSHAKE_BYTES,
            max_queue=max_queued_frames,
            logger=peers.WEBSOCKET_LOG,
            user_agent_header=None,
        )
    )


def serve_websockets(
    stack: contextlib.ExitStack,
    address: peers.Address,
    serve: typing.Callable[[server.ServerConnection], None],
    compression: str | None = None,
    max_queued_frames: int = MAX_QUEUED_FRAMES,
) -> peers.Address:
    """Starts a thread that accepts websockets.

    :param stack: ends it
    :param serve: serves one websocket in a thread of its own
    :param max_queued_frames: that are read before anybody takes them
    :returns: the address, with the port that the system chose for port 0
    :raises OSError: when the address cannot be bound
    """
    sock = socket.create_server((address.host, address.port), backlog=512)
    bound = peers.Address(*sock.getsockname()[:2])
    websocket_server = stack.enter_context(
        server.serve(
            serve,
            sock=sock,
            compression=compression,
            ping_interval=None,
            open_timeout=handshakes.HANDSHAKE_TIMEOUT_S,
            close_timeout=peers.CLOSE_TIMEOUT_MS / 1000,
            max_size=handshakes.MAX_HANDSHAKE_BYTES,
            max_queue=max_queued_frames,
            logger=peers.WEBSOCKET_LOG,
            server_header=None,
        )
    )
    threading.Thread(
        target=websocket_server.serve_forever,
        name=f'listen-{bound}',
        daemon=True,
    ).start()
    return bound
