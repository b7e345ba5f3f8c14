import { LayerError } from '@apricothoist/common';

export const ConfigurationErrorKind = {
  syntax: 'syntax',
  invalid: 'invalid',
  duplicate: 'duplicate',
  reference: 'reference',
} as const;
export type ConfigurationErrorKind =
  (typeof ConfigurationErrorKind)[keyof typeof ConfigurationErrorKind];

/** One validation fault: its location in the configuration and what was expected there. */
export interface ConfigurationFault {
  readonly file: string;
  readonly section: string;
  readonly key: string;
  readonly message: string;
}

/** Reports an invalid configuration with all faults found. */
export class ConfigurationError extends LayerError<ConfigurationErrorKind> {
  public constructor(
    kind: ConfigurationErrorKind,
    public readonly faults: readonly ConfigurationFault[],
  ) {
    super(kind, faults.map(describeFault).join('\n'));
  }
}

/** Formats a fault as one line: `file: [section] key: message`. */
export function describeFault(fault: ConfigurationFault): string {
  const key = fault.key === '' ? '' : ` ${fault.key}`;
  return `${fault.file}: [${fault.section}]${key}: ${fault.message}`;
}
