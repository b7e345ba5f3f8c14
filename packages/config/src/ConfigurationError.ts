import { LayerError } from '@apricothoist/common';

export const ConfigurationErrorKind = {
  syntax: 'syntax',
  invalid: 'invalid',
  duplicate: 'duplicate',
  reference: 'reference',
} as const;
export type ConfigurationErrorKind =
  (typeof ConfigurationErrorKind)[keyof typeof ConfigurationErrorKind];

/** One fault of a configuration: where it stands and what was expected there. */
export interface ConfigurationFault {
  readonly file: string;
  readonly section: string;
  readonly key: string;
  readonly message: string;
}

/** A configuration that cannot be accepted, with every fault found. */
export class ConfigurationError extends LayerError<ConfigurationErrorKind> {
  public constructor(
    kind: ConfigurationErrorKind,
    public readonly faults: readonly ConfigurationFault[],
  ) {
    super(kind, faults.map(describeFault).join('\n'));
  }
}

/** The fault as one line: `file: [section] key: message`. */
export function describeFault(fault: ConfigurationFault): string {
  const key = fault.key === '' ? '' : ` ${fault.key}`;
  return `${fault.file}: [${fault.section}]${key}: ${fault.message}`;
}
