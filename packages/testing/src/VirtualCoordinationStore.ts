import { delay } from '@apricothoist/common';
import type { Result } from 'neverthrow';
import { ok } from 'neverthrow';

interface Item {
  readonly key: string;
  readonly value?: string;
  readonly revision: number;
}

interface Items {
  readonly items: readonly Item[];
  readonly revision: number;
}

interface Page extends Items {
  readonly hasMore: boolean;
}

interface Transaction {
  readonly expect: readonly { readonly key: string; readonly revision: number }[];
  readonly writes: readonly { readonly key: string; readonly value: string; lease?: number }[];
  readonly deletes?: readonly string[];
}

type CommitResult =
  | { readonly isCommitted: true; readonly revision: number }
  | { readonly isCommitted: false; readonly items: readonly Item[] };

/** Largest number of items in a page, and of characters in their values. */
const maxPageItems = 500;
const maxPageCharacters = 1_000_000;
/** Interval in milliseconds at which a watch looks for changes. */
const watchPollMs = 10;

/** Coordination store in memory and in virtual time, without faults; leases do not expire. */
export class VirtualCoordinationStore {
  public readonly maxTransactionEntries = 32;

  /** Milliseconds that each call takes. */
  public callMs = 2;

  private readonly items = new Map<string, Item>();

  /** Keys by the lease that they were written with. */
  private readonly leases = new Map<number, string[]>();

  private revision = 0;

  /** Writes an item and returns its revision. */
  public put(key: string, value: string): number {
    this.revision += 1;
    this.items.set(key, { key, value, revision: this.revision });
    return this.revision;
  }

  public async read(key: string): Promise<Result<Item | undefined, never>> {
    await delay(this.callMs);
    const item = this.items.get(key);
    return ok(item?.value === undefined ? undefined : item);
  }

  public async list(prefix: string): Promise<Result<Items, never>> {
    await delay(this.callMs);
    const items = this.changes(prefix, 0).filter(({ value }) => value !== undefined);
    return ok({ items, revision: this.revision });
  }

  public async listPage(prefix: string, after = ''): Promise<Result<Page, never>> {
    await delay(this.callMs);
    const items = this.changes(prefix, 0)
      .filter(({ key, value }) => value !== undefined && key > after)
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    let characters = 0;
    const page = items.slice(0, maxPageItems).filter(({ value = '' }, index) => {
      characters += value.length;
      return index === 0 || characters <= maxPageCharacters;
    });
    return ok({ items: page, revision: this.revision, hasMore: page.length < items.length });
  }

  public async watch(prefix: string, after: number, waitMs: number): Promise<Result<Items, never>> {
    for (let waitedMs = 0; waitedMs < waitMs; waitedMs += watchPollMs) {
      await delay(watchPollMs);
      if (this.changes(prefix, after).length > 0) {
        break;
      }
    }
    return ok({ items: this.changes(prefix, after), revision: this.revision });
  }

  public async commit(transaction: Transaction): Promise<Result<CommitResult, never>> {
    await delay(this.callMs);
    const { expect, writes, deletes = [] } = transaction;
    const revisionOf = (key: string): number => {
      const item = this.items.get(key);
      return item?.value === undefined ? 0 : item.revision;
    };
    if (expect.some(({ key, revision }) => revisionOf(key) !== revision)) {
      const items = expect
        .map(({ key }) => this.items.get(key))
        .filter((item) => item?.value !== undefined);
      return ok({ isCommitted: false, items: items as Item[] });
    }
    this.revision += 1;
    const { revision } = this;
    writes.forEach(({ key, value, lease = 0 }) => {
      this.items.set(key, { key, value, revision });
      this.leases.get(lease)?.push(key);
    });
    deletes
      .filter((key) => this.items.get(key)?.value !== undefined)
      .forEach((key) => this.items.set(key, { key, revision }));
    return ok({ isCommitted: true, revision });
  }

  public async grantLease(): Promise<Result<number, never>> {
    this.revision += 1;
    this.leases.set(this.revision, []);
    return ok(this.revision);
  }

  public async renewLease(lease: number): Promise<Result<void, never>> {
    this.leases.set(lease, this.leases.get(lease) ?? []);
    return ok(undefined);
  }

  public async endLease(lease: number): Promise<Result<void, never>> {
    const keys = this.leases.get(lease) ?? [];
    this.leases.delete(lease);
    this.revision += 1;
    const { revision } = this;
    keys.forEach((key) => this.items.set(key, { key, revision }));
    return ok(undefined);
  }

  private changes(prefix: string, after: number): Item[] {
    return [...this.items.values()].filter(
      ({ key, revision }) => key.startsWith(prefix) && revision > after,
    );
  }
}
