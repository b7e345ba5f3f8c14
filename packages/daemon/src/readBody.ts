import type { IncomingMessage } from 'node:http';

import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';

export const BodyFault = { tooLarge: 'tooLarge', aborted: 'aborted' } as const;
export type BodyFault = (typeof BodyFault)[keyof typeof BodyFault];

/** Reads a whole request body of at most `maxBytes`. */
export function readBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<Result<Buffer, BodyFault>> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    request.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size > maxBytes) {
        request.pause();
        resolve(err(BodyFault.tooLarge));
        return;
      }
      chunks.push(chunk);
    });
    request.on('aborted', () => resolve(err(BodyFault.aborted)));
    request.on('error', () => resolve(err(BodyFault.aborted)));
    request.on('end', () => resolve(ok(Buffer.concat(chunks))));
  });
}
