import { readFileSync } from 'node:fs';

/** Clock ticks per second of the processor times in /proc. */
const ticksPerSecond = 100;
const bytesPerMegabyte = 1_048_576;

/** Resource usage of a process. */
export interface ProcessUsage {
  /** Processor time in milliseconds. */
  readonly processorMs: number;
  /** Resident memory in megabytes. */
  readonly memoryMb: number;
}

/** Reads the resource usage of a process from /proc. */
export function readProcessUsage(pid: number): ProcessUsage {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  // The process name is in parentheses and may contain spaces.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[11]) + Number(fields[12]);
  const pages = Number(readFileSync(`/proc/${pid}/statm`, 'utf8').split(' ')[1]);
  const pageBytes = 4_096;
  return {
    processorMs: (ticks * 1_000) / ticksPerSecond,
    memoryMb: (pages * pageBytes) / bytesPerMegabyte,
  };
}
