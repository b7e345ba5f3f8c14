import type { DecisionKind } from '@apricothoist/dispatch';
import type { EventKind } from '@apricothoist/telemetry';
import { EventLevel } from '@apricothoist/telemetry';

const { info, warn, error } = EventLevel;

/** Events of a job instance. docs/EVENTS.md explains each. */
export const JobEvents = {
  started: { code: 700, level: info, text: 'job instance started' },
  stopping: { code: 701, level: info, text: 'job instance stopping' },
  stopped: { code: 702, level: info, text: 'job instance stopped' },
  settingsReloaded: { code: 703, level: info, text: 'settings read again' },
  settingsInvalid: { code: 704, level: error, text: 'settings not usable' },
  storeLost: { code: 710, level: warn, text: 'store does not answer' },
  storeRegained: { code: 711, level: info, text: 'store answers again' },
  configurationAdopted: { code: 712, level: info, text: 'operator configuration in force' },
  configurationUnreadable: { code: 713, level: error, text: 'operator configuration unreadable' },
  readinessChanged: { code: 714, level: info, text: 'readiness changed' },
  holderGained: { code: 720, level: info, text: 'schedules jobs from now on' },
  holderLost: { code: 721, level: warn, text: 'schedules jobs no longer' },
  takeoverRead: { code: 722, level: info, text: 'stored jobs taken over' },
  feedConnected: { code: 723, level: info, text: 'connected to the scheduling instance' },
  feedLost: { code: 724, level: warn, text: 'lost the scheduling instance' },
  progressConflict: { code: 725, level: warn, text: 'stored progress was newer than expected' },
  recordUnreadable: { code: 726, level: error, text: 'stored record unreadable' },
  progressNotStored: { code: 727, level: warn, text: 'progress not stored, trying again' },
  holderInDoubt: { code: 728, level: warn, text: 'lease in doubt, nothing is ordered' },
  holderConfirmed: { code: 729, level: info, text: 'lease confirmed, orders go on' },
  experienceNotKept: { code: 731, level: warn, text: 'learned figures not read or kept' },
  requestAnswered: { code: 730, level: info, text: 'request answered' },
  runnerUnanswered: { code: 740, level: warn, text: 'runner did not answer' },
  entryInvalid: { code: 741, level: warn, text: 'registry entry not usable' },
  unexpectedError: { code: 790, level: error, text: 'unexpected error' },
} as const satisfies Record<string, EventKind>;

/** Decisions of the dispatcher. docs/EVENTS.md explains each. */
export const DecisionEvents: Record<DecisionKind, EventKind> = {
  jobQueued: { code: 750, level: info, text: 'job known to the scheduler' },
  jobEnded: { code: 751, level: info, text: 'job ended' },
  unitOrdered: { code: 752, level: info, text: 'start ordered' },
  unitReserved: { code: 753, level: info, text: 'room reclaimed' },
  unitStarted: { code: 754, level: info, text: 'run started' },
  unitAborted: { code: 755, level: info, text: 'run ended without result' },
  unitDone: { code: 756, level: info, text: 'run done' },
  runnerListed: { code: 760, level: info, text: 'runner listed' },
  runnerDraining: { code: 761, level: info, text: 'runner draining' },
  runnerUnlisted: { code: 762, level: info, text: 'runner gone from the registry' },
  runnerReborn: { code: 763, level: warn, text: 'runner began a new life' },
  runnerHeldBack: { code: 764, level: warn, text: 'runner held back' },
  runnerLapsed: { code: 765, level: warn, text: 'leases on a silent runner over' },
  orphanStopped: { code: 766, level: warn, text: 'unknown run stopped' },
};
