import { Random } from '@apricothoist/common';

import type { Arrival } from './ReplayWorld.js';

const msPerSecond = 1_000;

/** A kind of job of the users' sheets. */
export interface LoadKind {
  readonly queue: string;
  readonly perSecond: number;
  /** Mean number of tasks. */
  readonly width: number;
  /** Thousandths of a core. */
  readonly cpu: number;
  readonly memoryMb: number;
  /** Accelerators of a task, each as likely as the others. */
  readonly accelerators: readonly number[];
  /** Mean duration of a task in milliseconds. */
  readonly ms: number;
  readonly isGang: boolean;
  /** Share of the jobs whose gang wants one rack. */
  readonly oneRackShare: number;
  /** Share of the jobs that save their progress. */
  readonly savingShare: number;
  /** Spread of the logarithm of the width; absent: widths are spread evenly. */
  readonly spread?: number;
}

/** The users' load on some thirty runners. */
export const smallLoad: readonly LoadKind[] = [
  {
    queue: 'urgent',
    perSecond: 1.67,
    width: 3,
    cpu: 3_700,
    memoryMb: 15_000,
    accelerators: [1, 2, 4, 8, 8],
    ms: 2_500,
    isGang: true,
    oneRackShare: 1,
    savingShare: 0,
  },
  {
    queue: 'large',
    perSecond: 0.44,
    width: 5,
    cpu: 13_000,
    memoryMb: 53_000,
    accelerators: [1, 2, 4, 8, 8],
    ms: 8_500,
    isGang: true,
    oneRackShare: 0,
    savingShare: 0.45,
  },
  {
    queue: 'batch',
    perSecond: 0.33,
    width: 16,
    cpu: 2_800,
    memoryMb: 15_000,
    accelerators: [1],
    ms: 9_500,
    isGang: false,
    oneRackShare: 0,
    savingShare: 0.45,
  },
];

/** More jobs of one queue for a while. */
export interface LoadBurst {
  readonly queue: string;
  readonly from: number;
  readonly until: number;
  /** Multiple of the usual rate. */
  readonly factor: number;
}

/** The users' load on some two hundred and fifty runners, as their sheet of the grown deployment says. */
export const grownLoad: readonly LoadKind[] = [
  { ...(smallLoad[0] as LoadKind), perSecond: 7.69, width: 5.4, oneRackShare: 0.8, spread: 0.8 },
  { ...(smallLoad[1] as LoadKind), perSecond: 1.45, width: 13, oneRackShare: 0.6, spread: 0.8 },
  { ...(smallLoad[2] as LoadKind), perSecond: 1.14, width: 39, spread: 0.8 },
];

/** Spread of durations on the users' sheets. */
const durationSpread = 0.35;
/** Widest job and longest duration against the mean, on the users' sheets. */
const widestShare = 6;
const longestShare = 1.4;

/** Log-normal with the given mean, so that a few jobs are many times as wide as most. */
function skewed(random: Random, mean: number, spread: number): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.fraction()));
  const normal = radius * Math.cos(2 * Math.PI * random.fraction());
  return mean * Math.exp(spread * normal - spread ** 2 / 2);
}

/**
 * The users' load, generated: urgent gangs of seconds that want whole runners of one rack, over
 * large gangs and wide batch jobs.
 *
 * @param factor 1: the load of the users' sheets
 */
export function generateLoad(
  seed: number,
  lastsMs: number,
  factor: number,
  kinds: readonly LoadKind[] = smallLoad,
  bursts: readonly LoadBurst[] = [],
): Arrival[] {
  const random = new Random(seed);
  const arrivals: Arrival[] = [];
  kinds.forEach((kind) => {
    let at = msPerSecond;
    for (;;) {
      at += random.exponential(msPerSecond / (kind.perSecond * factor * burstAt(bursts, kind, at)));
      if (at > lastsMs) {
        return;
      }
      const step = {
        count: Math.max(1, Math.round(drawWidth(random, kind))),
        size: {
          cpu: kind.cpu,
          memoryMb: kind.memoryMb,
          accelerators: random.pick(kind.accelerators),
        },
        declaredMs: kind.ms * (0.2 + 3 * random.fraction()),
        isGang: kind.isGang,
        prefersOneRack: random.fraction() < kind.oneRackShare,
        savesProgress: random.fraction() < kind.savingShare,
      };
      arrivals.push({
        at,
        queue: kind.queue,
        steps: [step],
        durationMs: drawDuration(random, kind),
      });
    }
  });
  return arrivals;
}

function burstAt(bursts: readonly LoadBurst[], kind: LoadKind, at: number): number {
  const burst = bursts.find(
    ({ queue, from, until }) => queue === kind.queue && from <= at && at < until,
  );
  return burst?.factor ?? 1;
}

function drawWidth(random: Random, { width, spread }: LoadKind): number {
  return spread === undefined
    ? random.jitter(width, 0.8)
    : Math.min(width * widestShare, skewed(random, width, spread));
}

function drawDuration(random: Random, { ms, spread }: LoadKind): number {
  return spread === undefined
    ? random.jitter(ms, 0.3)
    : Math.min(ms * longestShare, skewed(random, ms, durationSpread));
}
