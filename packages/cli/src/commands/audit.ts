import { describeChange } from '@apricothoist/config';

import type { CommandContext } from '../CommandContext.js';
import type { AuditEntry } from '../schemas.js';
import { auditAnswer } from '../schemas.js';

/** Prints the audit trail of configuration changes, newest first. */
export async function audit(context: CommandContext, most: number): Promise<void> {
  const trail = await context.client().get(`/v1/audit?most=${most}`, auditAnswer);
  context.output.result(trail, trail.entries.flatMap(describeEntry));
}

/** An entry of the trail as lines. */
export function describeEntry(entry: AuditEntry): string[] {
  const time = new Date(entry.at).toISOString();
  const head = `revision ${entry.revision}  ${time}  ${entry.author}  ${entry.reason}`;
  return [head, ...entry.changes.map((change) => `  ${describeChange(change)}`)];
}
