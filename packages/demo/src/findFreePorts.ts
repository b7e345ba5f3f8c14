import { createServer } from 'node:net';
import process from 'node:process';

// Below the ephemeral port range, so that no outgoing connection takes a port after it was found
// free and before its listener opens.
const firstPort = 10_000;
const portsPerProcess = 100;
const blockCount = 200;

/** Each process searches its own block of ports, to avoid collisions between processes. */
const blockStart = firstPort + (process.pid % blockCount) * portsPerProcess;

let nextOffset = 0;

/** Finds loopback ports that nothing listens on. */
export async function findFreePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  for (let attempts = 0; ports.length < count && attempts < portsPerProcess; attempts += 1) {
    const port = blockStart + (nextOffset % portsPerProcess);
    nextOffset += 1;
    if (await isFree(port)) {
      ports.push(port);
    }
  }
  if (ports.length < count) {
    throw new Error(
      `fewer than ${count} free ports from ${blockStart} to ${blockStart + portsPerProcess}`,
    );
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
