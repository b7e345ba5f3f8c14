import type { StoredItem, StoredPage } from './CoordinationStore.js';

/** Items below a prefix, collected page by page. */
export class PagedList {
  public readonly items: StoredItem[] = [];

  public bytes = 0;

  private firstRevision: number | undefined;

  private isWhole = false;

  public constructor(public readonly prefix: string) {}

  public get isComplete(): boolean {
    return this.isWhole;
  }

  /** Last key of the pages so far, after which the next one begins. */
  public get lastKey(): string | undefined {
    return this.items.at(-1)?.key;
  }

  /**
   * Revision of the first page: changes made between two pages are missed by the list and must be
   * watched from there.
   */
  public get revision(): number {
    return this.firstRevision ?? 0;
  }

  public append({ items, revision, hasMore }: StoredPage): void {
    this.firstRevision ??= revision;
    this.isWhole = !hasMore;
    items.forEach((item) => {
      this.items.push(item);
      this.bytes += item.key.length + Buffer.byteLength(item.value ?? '');
    });
  }
}
