import type { IncomingMessage } from 'node:http';

import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';

export const BodyError = { tooLarge: 'tooLarge', aborted: 'aborted' } as const;
export type BodyError = (typeof BodyError)[keyof typeof BodyError];

/** Reads a complete request body of at most `maxBytes`. */
export function readBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<Result<Buffer, BodyError>> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    request.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size > maxBytes) {
        request.pause();
        resolve(err(BodyError.tooLarge));
        return;
      }
      chunks.push(chunk);
    });
    request.on('aborted', () => resolve(err(BodyError.aborted)));
    request.on('error', () => resolve(err(BodyError.aborted)));
    request.on('end', () => resolve(ok(Buffer.concat(chunks))));
  });
}
