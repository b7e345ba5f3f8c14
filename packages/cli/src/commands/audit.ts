import { describeChange } from '@apricothoist/config';

import type { CommandContext } from '../CommandContext.js';
import type { AuditEntry } from '../schemas.js';
import { auditResponseSchema } from '../schemas.js';

/** Prints the audit trail of configuration changes, newest first. */
export async function audit(context: CommandContext, most: number): Promise<void> {
  const response = await context.client().get(`/v1/audit?most=${most}`, auditResponseSchema);
  context.output.printResult(response, response.entries.flatMap(describeEntry));
}

/** Formats an entry of the audit trail as lines of text. */
export function describeEntry(entry: AuditEntry): string[] {
  const time = new Date(entry.at).toISOString();
  const header = `revision ${entry.revision}  ${time}  ${entry.author}  ${entry.reason}`;
  return [header, ...entry.changes.map((change) => `  ${describeChange(change)}`)];
}
