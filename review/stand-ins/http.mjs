import { Buffer } from 'node:buffer';
import { request as httpRequest } from 'node:http';
import { setTimeout } from 'node:timers';

export async function readBody(request) {
  const chunks = [];
  for await (const chunk of request) {
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString('utf8');
}

export function sendJson(response, status, body) {
  if (!response.destroyed) {
    response.writeHead(status, { 'content-type': 'application/json' });
    response.end(JSON.stringify(body));
  }
}

/** Makes one call on a connection of its own; the status is 0 if there was no complete answer. */
export function call({ host, port, method, path, headers = {}, body, timeoutMs = 3_500 }) {
  return new Promise((resolve) => {
    const fail = () => resolve({ status: 0, body: {} });
    const outgoing = httpRequest(
      { host, port, method, path, headers, agent: false, timeout: timeoutMs },
      (response) => {
        readBody(response).then(
          (text) =>
            resolve({ status: response.statusCode, body: text === '' ? {} : JSON.parse(text) }),
          fail,
        );
      },
    );
    outgoing.on('timeout', () => outgoing.destroy());
    outgoing.on('error', fail);
    outgoing.end(body === undefined ? undefined : JSON.stringify(body));
  });
}

export function delay(ms) {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}
