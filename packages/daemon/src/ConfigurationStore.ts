import { createIdentifier, digestOf, LayerError } from '@apricothoist/common';
import type { ConfigurationChange } from '@apricothoist/config';
import { diffConfiguration, parseConfiguration, printConfiguration } from '@apricothoist/config';
import type { Store, StoreError } from '@apricothoist/platform';
import { absentVersion, StoreErrorKind } from '@apricothoist/platform';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';

/** The newest accepted revision. Whoever changes it by compare-and-swap has won. */
export interface ConfigurationHead {
  readonly revision: number;
  readonly recordKey: string;
}

/** One accepted configuration together with its entry in the audit trail. Never changed. */
export interface ConfigurationRecord {
  readonly revision: number;
  readonly digest: string;
  readonly text: string;
  /** Identifier that the operator's client gave the change. */
  readonly changeId: string;
  readonly previousKey: string | undefined;
  readonly author: string;
  readonly reason: string;
  /** Wall milliseconds. */
  readonly at: number;
  readonly changes: readonly ConfigurationChange[];
}

/** A change that an operator wants to make. */
export interface ConfigurationProposal {
  readonly changeId: string;
  /** Revision that was reviewed. */
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

/** A configuration change that was not, or perhaps not, accepted. */
export class PublishError extends LayerError<PublishErrorKind> {
  /** The changes that won, newest first, in a conflict. */
  public winners: readonly ConfigurationRecord[] = [];
}

export const configurationPrefix = 'configuration/';
export const configurationHeadKey = `${configurationPrefix}head`;
const emptyHead: ConfigurationHead = { revision: 0, recordKey: '' };
/** Records read when looking for a change whose outcome is not known. */
const maxWinnersRead = 50;

type Outcome<T> = Result<T, PublishError>;

/**
 * Configurations in the platform's store. A record is written first and counts only once the head
 * names it; the audit trail is the chain of records from the head, so it changes in the same
 * compare-and-swap as the configuration.
 */
export class ConfigurationStore {
  public constructor(private readonly store: Store) {}

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

  /** The audit trail, newest first, down to `afterRevision`. */
  public async readTrail(
    afterRevision: number,
    most: number,
  ): Promise<Result<ConfigurationRecord[], StoreError>> {
    const head = await this.readHead();
    if (head.isErr()) {
      return err(head.error);
    }
    const records: ConfigurationRecord[] = [];
    let key: string | undefined = head.value.recordKey || undefined;
    while (key !== undefined && records.length < most) {
      const record: Result<ConfigurationRecord | undefined, StoreError> =
        await this.readRecord(key);
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

  /** Publishes a change. Repeating it under the same change identifier has no further effect. */
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
      return this.resolve(proposal, PublishErrorKind.conflict);
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
    return kind === undefined ? err(unavailable(swapped.error)) : this.resolve(proposal, kind);
  }

  // The chain of records tells whether this change was accepted, whatever answer was lost.
  private async resolve(
    proposal: ConfigurationProposal,
    kind: PublishErrorKind,
  ): Promise<Outcome<ConfigurationRecord>> {
    const trail = await this.readTrail(proposal.expectedRevision, maxWinnersRead);
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
