import type { Configuration } from './Configuration.js';

const sectionKinds = ['account', 'guarantee', 'service', 'workers', 'job'] as const;

type Scalar = string | number | boolean | readonly string[];

/**
 * Serializes a configuration as canonical INI: sections grouped by kind and sorted by name, keys sorted
 * by name, one key per line. Equal configurations produce identical text.
 */
export function printConfiguration(configuration: Configuration): string {
  const blocks = [printSection('deployment', configuration.deployment)];
  sectionKinds.forEach((kind) => {
    const sections = configuration[kind] as Readonly<Record<string, object>>;
    Object.keys(sections)
      .sort()
      .forEach((name) => blocks.push(printSection(`${kind}.${name}`, sections[name] ?? {})));
  });
  return blocks.join('\n');
}

function printSection(title: string, values: object): string {
  const entries = Object.entries(values) as [string, Scalar][];
  const lines = entries
    .sort(([left], [right]) => (left < right ? -1 : 1))
    .map(([key, value]) => `${key} = ${printValue(value)}`);
  return `[${title}]\n${lines.join('\n')}\n`;
}

function printValue(value: Scalar): string {
  return Array.isArray(value) ? value.join(', ') : String(value);
}
