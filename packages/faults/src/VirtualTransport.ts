import type { StoreChanges, StoredValue, StoreTransport, StoreWrite } from '@apricothoist/platform';
import { StoreError, StoreErrorKind } from '@apricothoist/platform';
import type { MemoryStore } from '@apricothoist/testing';
import type { Result } from 'neverthrow';

import type { SimulationServices } from './VirtualInstance.js';
import { CallFailure } from './VirtualNetwork.js';

const storeName = 'store';
const watchTimeoutMs = 4_000;

/** Store transport of one instance over the virtual network. */
export class VirtualTransport implements StoreTransport {
  public constructor(
    private readonly instanceName: string,
    private readonly simulation: SimulationServices,
  ) {}

  public read(key: string, deadline: number): Promise<Result<StoredValue | undefined, StoreError>> {
    return this.call((store) => store.read(key), deadline, StoreErrorKind.timeout);
  }

  public list(
    prefix: string,
    deadline: number,
  ): Promise<Result<readonly StoredValue[], StoreError>> {
    return this.call((store) => store.list(prefix), deadline, StoreErrorKind.timeout);
  }

  public write(write: StoreWrite, deadline: number): Promise<Result<number, StoreError>> {
    return this.call((store) => store.write(write), deadline, StoreErrorKind.unknown);
  }

  public watch(
    prefix: string,
    revision: number,
    deadline: number,
  ): Promise<Result<StoreChanges, StoreError>> {
    const timer = setTimeout(() => this.simulation.store.endWatches(), watchTimeoutMs);
    const changes = this.call(
      (store) => store.watch(prefix, revision),
      deadline,
      StoreErrorKind.timeout,
    );
    return changes.finally(() => clearTimeout(timer));
  }

  private async call<T>(
    operation: (store: MemoryStore) => Promise<Result<T, StoreError>>,
    deadline: number,
    onTimeout: StoreErrorKind,
  ): Promise<Result<T, StoreError>> {
    const { network, store } = this.simulation;
    const response = await network.call(
      this.instanceName,
      storeName,
      () => operation(store),
      deadline,
    );
    return response
      .mapErr((failure) => {
        const kind = failure === CallFailure.refused ? StoreErrorKind.unavailable : onTimeout;
        return new StoreError(kind, `store: ${failure}`);
      })
      .andThen((result) => result);
  }
}
