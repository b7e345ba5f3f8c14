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

interface KnownList {
  readonly tag: string;
  readonly instances: readonly ListedInstance[];
}

/** Speaks the instance list's HTTP protocol. */
export class HttpInstanceList implements InstanceList {
  /** Tag and rows of the last answer; an unchanged list is not sent again. */
  private known: KnownList | undefined;

  public constructor(
    private readonly baseUrl: string,
    private readonly clock: Clock,
  ) {}

  public async read(): Promise<Result<readonly ListedInstance[], InstanceListError>> {
    const deadline = this.clock.monotonic() + readTimeoutMs;
    const url = `${this.baseUrl}/v1/instances`;
    // Read every few seconds: a new connection each time cannot be a silent one.
    const headers: Record<string, string> =
      this.known === undefined ? {} : { 'if-none-match': this.known.tag };
    const call = { method: 'GET', url, headers, deadline, agent: false } as const;
    const answer = await httpCall(call, this.clock);
    if (answer.isErr()) {
      const { message } = answer.error;
      const options = { cause: answer.error };
      return err(new InstanceListError(InstanceListErrorKind.unavailable, message, options));
    }
    if (answer.value.status === notModifiedStatus && this.known !== undefined) {
      return ok(this.known.instances);
    }
    try {
      const { instances } = listSchema.parse(JSON.parse(answer.value.body));
      const { etag } = answer.value.headers;
      this.known = etag === undefined ? undefined : { tag: etag, instances };
      return ok(instances);
    } catch (cause) {
      const message = 'unreadable instance list';
      return err(new InstanceListError(InstanceListErrorKind.malformed, message, { cause }));
    }
  }
}
