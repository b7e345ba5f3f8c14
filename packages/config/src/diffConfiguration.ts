/** Kinds of difference between two configurations. */
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
  const before = readLines(from);
  const after = readLines(to);
  const places = [...new Set([...before.keys(), ...after.keys()])].sort();
  return places.flatMap((place) => compare(place, before.get(place), after.get(place)));
}

/** The change as one line of a review. */
export function describeChange(change: ConfigurationChange): string {
  const place = `[${change.section}] ${change.key}`;
  const texts: Record<ChangeKind, string> = {
    added: `+ ${place} = ${change.to}`,
    removed: `- ${place} = ${change.from}`,
    changed: `~ ${place} = ${change.from} -> ${change.to}`,
  };
  return texts[change.kind];
}

function compare(place: string, from?: string, to?: string): ConfigurationChange[] {
  if (from === to) {
    return [];
  }
  const [section = '', key = ''] = place.split('\n');
  if (from === undefined) {
    return [{ kind: ChangeKind.added, section, key, to }];
  }
  if (to === undefined) {
    return [{ kind: ChangeKind.removed, section, key, from }];
  }
  return [{ kind: ChangeKind.changed, section, key, from, to }];
}

function readLines(text: string): Map<string, string> {
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
