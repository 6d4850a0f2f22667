"""A caller hides a request in the trailers of another one."""

import pathlib
import socket
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from common import harness  # noqa: E402

TRIALS = 5
# Trailer lines together stay far below maxHeaderBytes (16,384).
PAD_LINE_BYTES = 1024


def outer_request(deployment, call_id, trailers):
    lines = [f'POST {harness.ONCE}pay HTTP/1.1']
    headers = deployment.request_headers(call_id)
    lines += [f'{name}: {value}' for name, value in headers.items()]
    lines += ['Transfer-Encoding: chunked', '', '']
    head = '\r\n'.join(lines).encode()
    return head + b'5\r\nhello\r\n0\r\n' + trailers + b'\r\n'


def hidden_request(deployment, call_id):
    """Returns a request as lines that stand in the trailers of another."""
    lines = [f'POST {harness.ONCE}hidden HTTP/1.1']
    headers = deployment.request_headers(call_id)
    lines += [f'{name}: {value}' for name, value in headers.items()]
    lines += ['Content-Length: 0', '']
    return '\r\n'.join(lines).encode()


def read_all(sock):
    data = b''
    sock.settimeout(1.5)
    try:
        while piece := sock.recv(65536):
            data += piece
    except OSError:
        pass
    return data


def play(stack, record):
    deployment = harness.Deployment(stack, record, controls=3, entries=2)
    for _ in range(3):
        deployment.add_server('ledger')
    deployment.start_all()
    if not deployment.put_config(harness.make_config()):
        raise harness.NotRun('the configuration was not acknowledged')
    deployment.wait_until_served(with_models=False)
    sent_ids = set()
    hidden_ids = set()
    for trial in range(TRIALS):
        ip = deployment.entries[trial % len(deployment.entries)]
        call_id = harness.new_id('sent')
        sent_ids.add(call_id)
        trailers = b'X-Checksum: 1\r\n'
        if deployment.trouble:
            hidden_id = harness.new_id('hidden')
            hidden_ids.add(hidden_id)
            pad = b'X-Checksum: '
            pad += b'0' * (PAD_LINE_BYTES - len(pad))
            trailers = pad + b'\r\n' + hidden_request(deployment, hidden_id)
        data = outer_request(deployment, call_id, trailers)
        with socket.create_connection((ip, deployment.front_port)) as sock:
            record.write(f'caller sends {call_id} to {ip}, {len(data)} bytes')
            sock.sendall(data)
            answers = read_all(sock)
        count = answers.count(b'HTTP/1.1 200')
        record.write(f'caller of {call_id} gets {count} answers with 200')
        time.sleep(0.2)
    ran = {run.call_id for run in deployment.runs}
    record.write(f'sent and run: {sorted(sent_ids & ran)}')
    record.write(f'hidden and run: {sorted(hidden_ids & ran)}')
    if not deployment.trouble and not sent_ids <= ran:
        raise harness.NotRun('a plain chunked request was not run')
    return not hidden_ids & ran


if __name__ == '__main__':
    harness.main(__file__, play)
