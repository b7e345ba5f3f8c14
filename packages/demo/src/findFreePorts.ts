import { createServer } from 'node:net';
import process from 'node:process';

// Below the range that systems use for outgoing connections, so that a port which was found free
// is not taken by one of those before its listener opens.
const firstPort = 10_000;
const portsPerProcess = 100;
const blocks = 200;

/** Each process looks in a block of its own. */
const block = firstPort + (process.pid % blocks) * portsPerProcess;

let next = 0;

/** Ports of loopback that nothing listens on. */
export async function findFreePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  for (let tries = 0; ports.length < count && tries < portsPerProcess; tries += 1) {
    const port = block + (next % portsPerProcess);
    next += 1;
    if (await isFree(port)) {
      ports.push(port);
    }
  }
  if (ports.length < count) {
    throw new Error(`fewer than ${count} free ports from ${block} to ${block + portsPerProcess}`);
  }
  return ports;
}

function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}
