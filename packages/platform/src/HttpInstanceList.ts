import type { Clock } from '@apricothoist/common';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import { z } from 'zod';

import { httpCall } from './httpCall.js';
import type { InstanceList, ListedInstance } from './InstanceList.js';
import { InstanceRole, ListedState } from './InstanceList.js';
import { InstanceListError, InstanceListErrorKind } from './InstanceListError.js';

const listSchema = z.object({
  instances: z.array(
    z.object({
      id: z.string(),
      role: z.enum(InstanceRole),
      dataCentre: z.string(),
      address: z.string(),
      state: z.enum(ListedState),
      service: z.string().optional(),
      rack: z.string().optional(),
      accelerators: z.number().int().optional(),
    }),
  ),
});

const readTimeoutMs = 2_000;
const notModifiedStatus = 304;

interface CachedList {
  readonly tag: string;
  readonly instances: readonly ListedInstance[];
}

/** HTTP client of the platform's instance list. */
export class HttpInstanceList implements InstanceList {
  /** Entity tag and rows of the last response, for conditional requests. */
  private cached: CachedList | undefined;

  public constructor(
    private readonly baseUrl: string,
    private readonly clock: Clock,
  ) {}

  public async read(): Promise<Result<readonly ListedInstance[], InstanceListError>> {
    const deadline = this.clock.monotonic() + readTimeoutMs;
    const url = `${this.baseUrl}/v1/instances`;
    // The list is read every few seconds. A new connection for each read avoids reusing one that
    // has become unresponsive.
    const headers: Record<string, string> =
      this.cached === undefined ? {} : { 'if-none-match': this.cached.tag };
    const call = { method: 'GET', url, headers, deadline, agent: false } as const;
    const response = await httpCall(call, this.clock);
    if (response.isErr()) {
      const { message } = response.error;
      const options = { cause: response.error };
      return err(new InstanceListError(InstanceListErrorKind.unavailable, message, options));
    }
    if (response.value.status === notModifiedStatus && this.cached !== undefined) {
      return ok(this.cached.instances);
    }
    try {
      const { instances } = listSchema.parse(JSON.parse(response.value.body));
      const { etag } = response.value.headers;
      this.cached = etag === undefined ? undefined : { tag: etag, instances };
      return ok(instances);
    } catch (cause) {
      const message = 'invalid instance list';
      return err(new InstanceListError(InstanceListErrorKind.malformed, message, { cause }));
    }
  }
}
