import type { PendingRequest } from './PendingRequest.js';

/** The open requests: admitted and not yet settled, counted by account. */
export class PendingRequests<Body, Answer> {
  private readonly requests = new Set<PendingRequest<Body, Answer>>();

  private readonly countByAccount = new Map<string, number>();

  public get size(): number {
    return this.requests.size;
  }

  public get all(): PendingRequest<Body, Answer>[] {
    return [...this.requests];
  }

  public countOf(account: string): number {
    return this.countByAccount.get(account) ?? 0;
  }

  public add(request: PendingRequest<Body, Answer>): void {
    this.requests.add(request);
    this.adjustCount(request.descriptor.account, 1);
  }

  public remove(request: PendingRequest<Body, Answer>): void {
    if (this.requests.delete(request)) {
      this.adjustCount(request.descriptor.account, -1);
    }
  }

  private adjustCount(account: string, by: number): void {
    const count = this.countOf(account) + by;
    if (count === 0) {
      this.countByAccount.delete(account);
    } else {
      this.countByAccount.set(account, count);
    }
  }
}
