import { createIdentifier, delay, digestOf, LayerError } from '@apricothoist/common';
import type { ConfigurationChange } from '@apricothoist/config';
import { diffConfiguration, parseConfiguration, printConfiguration } from '@apricothoist/config';
import type { Store, StoreError } from '@apricothoist/platform';
import { absentVersion, StoreErrorKind } from '@apricothoist/platform';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';

/** Pointer to the newest accepted record; replaced by compare-and-swap, so one writer succeeds. */
export interface ConfigurationHead {
  readonly revision: number;
  readonly recordKey: string;
}

/** One accepted configuration with its audit trail entry. Immutable. */
export interface ConfigurationRecord {
  readonly revision: number;
  readonly digest: string;
  readonly text: string;
  /** Identifier of the change, assigned by the operator's client. */
  readonly changeId: string;
  readonly previousKey: string | undefined;
  readonly author: string;
  readonly reason: string;
  /** Wall-clock milliseconds. */
  readonly at: number;
  readonly changes: readonly ConfigurationChange[];
}

/** A configuration change proposed by an operator. */
export interface ConfigurationProposal {
  readonly changeId: string;
  /** Revision on which the proposal is based. */
  readonly expectedRevision: number;
  readonly text: string;
  readonly author: string;
  readonly reason: string;
  readonly at: number;
}

export const PublishErrorKind = {
  conflict: 'conflict',
  invalid: 'invalid',
  unavailable: 'unavailable',
  unknown: 'unknown',
} as const;
export type PublishErrorKind = (typeof PublishErrorKind)[keyof typeof PublishErrorKind];

/** A configuration change that was rejected or whose outcome is unknown. */
export class PublishError extends LayerError<PublishErrorKind> {
  /** On a conflict, the changes accepted since the expected revision, newest first. */
  public winners: readonly ConfigurationRecord[] = [];
}

export const configurationPrefix = 'configuration/';
export const configurationHeadKey = `${configurationPrefix}head`;
const emptyHead: ConfigurationHead = { revision: 0, recordKey: '' };
/** Maximum number of records read to determine whether a change was accepted. */
const maxResolveRecords = 50;
/** Milliseconds between tries, and number of tries, of an audit read while the budget is used up. */
const auditRetryMs = 100;
const maxAuditTries = 20;

type Outcome<T> = Result<T, PublishError>;

/**
 * Configurations in the platform's store. A record is written first and takes effect only when the
 * head refers to it. The audit trail is the linked list of records starting at the head, so one
 * compare-and-swap updates both the configuration and the audit trail.
 */
export class ConfigurationStore {
  /** @param auditStore view of the store for reads of the audit trail, of any number */
  public constructor(
    private readonly store: Store,
    private readonly auditStore: Store = store,
  ) {}

  public async readHead(): Promise<Result<ConfigurationHead, StoreError>> {
    const head = await this.store.read<ConfigurationHead>(configurationHeadKey);
    return head.map((found) => found?.data ?? emptyHead);
  }

  public async readRecord(
    key: string,
  ): Promise<Result<ConfigurationRecord | undefined, StoreError>> {
    const record = await this.store.read<ConfigurationRecord>(key);
    return record.map((found) => found?.data);
  }

  /** Reads the audit trail, newest first, of the revisions after `afterRevision`. */
  public async readAuditTrail(
    afterRevision: number,
    maxRecords: number,
  ): Promise<Result<ConfigurationRecord[], StoreError>> {
    const head = await this.readHead();
    if (head.isErr()) {
      return err(head.error);
    }
    const records: ConfigurationRecord[] = [];
    let key: string | undefined = head.value.recordKey || undefined;
    while (key !== undefined && records.length < maxRecords) {
      const record = await this.readAuditRecord(key);
      if (record.isErr()) {
        return err(record.error);
      }
      if (record.value === undefined || record.value.revision <= afterRevision) {
        break;
      }
      records.push(record.value);
      key = record.value.previousKey;
    }
    return ok(records);
  }

  // A trail may have more records than the budget of a second has calls.
  private async readAuditRecord(
    key: string,
  ): Promise<Result<ConfigurationRecord | undefined, StoreError>> {
    for (let attempt = 1; ; attempt += 1) {
      const record = await this.auditStore.read<ConfigurationRecord>(key);
      const isOverBudget = record.isErr() && record.error.kind === StoreErrorKind.overBudget;
      if (!isOverBudget || attempt === maxAuditTries) {
        return record.map((found) => found?.data);
      }
      await delay(auditRetryMs);
    }
  }

  /** Publishes a change. Idempotent: repeating it with the same change identifier has no effect. */
  public async publish(proposal: ConfigurationProposal): Promise<Outcome<ConfigurationRecord>> {
    const parsed = parseConfiguration(proposal.text, 'configuration');
    if (parsed.isErr()) {
      const options = { cause: parsed.error };
      return err(new PublishError(PublishErrorKind.invalid, parsed.error.message, options));
    }
    const read = await this.store.read<ConfigurationHead>(configurationHeadKey);
    if (read.isErr()) {
      return err(unavailable(read.error));
    }
    const head = read.value?.data ?? emptyHead;
    if (head.revision !== proposal.expectedRevision) {
      return this.resolveOutcome(proposal, PublishErrorKind.conflict);
    }
    const previous = head.recordKey === '' ? ok(undefined) : await this.readRecord(head.recordKey);
    if (previous.isErr()) {
      return err(unavailable(previous.error));
    }
    const record = createRecord(proposal, printConfiguration(parsed.value), head, previous.value);
    return this.write(proposal, record, read.value?.version ?? absentVersion);
  }

  private async write(
    proposal: ConfigurationProposal,
    record: ConfigurationRecord,
    headVersion: number,
  ): Promise<Outcome<ConfigurationRecord>> {
    const recordKey = `${configurationPrefix}record/${record.revision}-${createIdentifier()}`;
    const stored = await this.store.compareAndSwap(recordKey, absentVersion, record);
    if (stored.isErr()) {
      return err(unavailable(stored.error));
    }
    const head: ConfigurationHead = { revision: record.revision, recordKey };
    const swapped = await this.store.compareAndSwap(configurationHeadKey, headVersion, head);
    if (swapped.isOk()) {
      return ok(record);
    }
    const kinds: Partial<Record<StoreErrorKind, PublishErrorKind>> = {
      [StoreErrorKind.conflict]: PublishErrorKind.conflict,
      [StoreErrorKind.unknown]: PublishErrorKind.unknown,
    };
    const kind = kinds[swapped.error.kind];
    return kind === undefined
      ? err(unavailable(swapped.error))
      : this.resolveOutcome(proposal, kind);
  }

  // The audit trail shows whether this change was accepted, even if a store response was lost.
  private async resolveOutcome(
    proposal: ConfigurationProposal,
    kind: PublishErrorKind,
  ): Promise<Outcome<ConfigurationRecord>> {
    const trail = await this.readAuditTrail(proposal.expectedRevision, maxResolveRecords);
    if (trail.isErr()) {
      return err(new PublishError(kind, 'the store did not tell whether the change was accepted'));
    }
    const own = trail.value.find((record) => record.changeId === proposal.changeId);
    if (own !== undefined) {
      return ok(own);
    }
    const isDecided = trail.value.length > 0 || kind === PublishErrorKind.conflict;
    const outcome = isDecided ? PublishErrorKind.conflict : PublishErrorKind.unknown;
    const error = new PublishError(outcome, describeOutcome(proposal, trail.value));
    error.winners = trail.value;
    return err(error);
  }
}

function createRecord(
  proposal: ConfigurationProposal,
  text: string,
  head: ConfigurationHead,
  previous: ConfigurationRecord | undefined,
): ConfigurationRecord {
  return {
    revision: head.revision + 1,
    digest: digestOf(text),
    text,
    changeId: proposal.changeId,
    previousKey: head.recordKey === '' ? undefined : head.recordKey,
    author: proposal.author,
    reason: proposal.reason,
    at: proposal.at,
    changes: diffConfiguration(previous?.text ?? '', text),
  };
}

function describeOutcome(
  proposal: ConfigurationProposal,
  winners: readonly ConfigurationRecord[],
): string {
  const [newest] = winners;
  return newest === undefined
    ? `revision ${proposal.expectedRevision} is not the newest one`
    : `revision ${proposal.expectedRevision} was replaced by ${newest.revision} (${newest.author})`;
}

function unavailable(cause: StoreError): PublishError {
  return new PublishError(PublishErrorKind.unavailable, cause.message, { cause });
}
