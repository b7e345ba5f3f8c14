import { once } from 'node:events';
import type { AddressInfo } from 'node:net';
import { createServer } from 'node:net';

/** A port of the loopback address that was free a moment ago. */
export async function findFreePort(): Promise<number> {
  const server = createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  server.close();
  await once(server, 'close');
  return port;
}
