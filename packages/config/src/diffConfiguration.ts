/** Kinds of differences between two configurations. */
export const ChangeKind = { added: 'added', removed: 'removed', changed: 'changed' } as const;
export type ChangeKind = (typeof ChangeKind)[keyof typeof ChangeKind];

/** One key that differs between two configurations. */
export interface ConfigurationChange {
  readonly kind: ChangeKind;
  readonly section: string;
  readonly key: string;
  readonly from?: string;
  readonly to?: string;
}

/** The differences between two canonical configuration texts, by section and key. */
export function diffConfiguration(from: string, to: string): ConfigurationChange[] {
  const before = readValues(from);
  const after = readValues(to);
  const paths = [...new Set([...before.keys(), ...after.keys()])].sort();
  return paths.flatMap((path) => compare(path, before.get(path), after.get(path)));
}

/** Formats a change as one line for review. */
export function describeChange(change: ConfigurationChange): string {
  const location = `[${change.section}] ${change.key}`;
  const texts: Record<ChangeKind, string> = {
    added: `+ ${location} = ${change.to}`,
    removed: `- ${location} = ${change.from}`,
    changed: `~ ${location} = ${change.from} -> ${change.to}`,
  };
  return texts[change.kind];
}

function compare(path: string, from?: string, to?: string): ConfigurationChange[] {
  if (from === to) {
    return [];
  }
  const [section = '', key = ''] = path.split('\n');
  if (from === undefined) {
    return [{ kind: ChangeKind.added, section, key, to }];
  }
  if (to === undefined) {
    return [{ kind: ChangeKind.removed, section, key, from }];
  }
  return [{ kind: ChangeKind.changed, section, key, from, to }];
}

function readValues(text: string): Map<string, string> {
  const values = new Map<string, string>();
  let section = '';
  text.split('\n').forEach((line) => {
    const header = /^\[(.*)\]$/.exec(line);
    const assignment = /^(\S+) = (.*)$/.exec(line);
    if (header !== null) {
      section = header[1] ?? '';
    } else if (assignment !== null) {
      values.set(`${section}\n${assignment[1]}`, assignment[2] ?? '');
    }
  });
  return values;
}
