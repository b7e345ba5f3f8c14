import { Random } from '@apricothoist/common';
import type { ListedRunner } from '@apricothoist/dispatch';

import type { VirtualDeployment } from './VirtualDeployment.js';

type Period = readonly [min: number, max: number];

/** Probability of each fault per interval, for each runner or for the deployment. */
const runnerRates = { omitted: 0.008, overwritten: 0.006, reset: 0.008 };
const deploymentRates = { centreOmitted: 0.01, centreCut: 0.004, centreDrained: 0.004 };
/** Milliseconds for which a reset runner refuses new connections. */
const resetMs: Period = [10, 40];
const centreCutMs: Period = [300, 9_000];
const partitionRate = 0.004;
const partitionMs: Period = [500, 5_000];
/** Milliseconds between the steps of a departure: connections, entry and process. */
const departureStepMs: Period = [0, 400];
/** Milliseconds from the request to drain a data centre until its runners leave. */
const drainMs: Period = [2_000, 9_000];
/** Milliseconds for which a runner stays beyond its announced remaining time. */
const overtimeMs: Period = [0, 1_500];

/** Steps of a departure in the order in which a runner takes them; its connections end with it. */
const departureOrders = [
  ['end', 'remove'],
  ['close', 'end', 'remove'],
  ['close', 'remove', 'end'],
  ['remove', 'end'],
] as const;
type DepartureStep = (typeof departureOrders)[number][number];

/** Data centres of a deployment with these faults. */
export const dataCentres = ['a', 'b'];

/** Draws faults of the registry and its writers, and of whole data centres, from a source of their own. */
export class RegistryFaults {
  private readonly random: Random;

  private readonly partitionRandom: Random;

  /** Runners that cannot reach the registry. */
  public readonly unregistered = new Set<string>();

  public constructor(
    private readonly deployment: VirtualDeployment,
    seed: number,
    private readonly drain: (id: string, durationMs: number) => void,
  ) {
    this.random = new Random(seed);
    this.partitionRandom = new Random(-seed);
  }

  /** Draws the faults that begin in an interval. */
  public begin(): void {
    const { pool, registry, refusingRunners } = this.deployment;
    pool.all.forEach(({ id, entry, isUp }) => {
      if (this.isDrawn(runnerRates.omitted)) {
        registry.idsToOmit.add(id);
      }
      if (isUp && this.isDrawn(runnerRates.overwritten)) {
        registry.overwrite(id, this.drawChange(entry), this.isDrawn(0.5));
      }
      if (this.isDrawn(runnerRates.reset)) {
        this.addFor([refusingRunners], [id], resetMs);
      }
    });
    const centre = dataCentres[this.random.below(dataCentres.length)];
    const ids = pool.all.filter(({ entry }) => entry.dataCentre === centre).map(({ id }) => id);
    if (this.isDrawn(deploymentRates.centreOmitted)) {
      ids.forEach((id) => registry.idsToOmit.add(id));
    }
    if (this.isDrawn(deploymentRates.centreCut)) {
      this.addFor([refusingRunners, this.unregistered], ids, centreCutMs);
    }
    this.beginPartition();
    if (this.isDrawn(deploymentRates.centreDrained)) {
      ids.filter((id) => pool.get(id).isUp).forEach((id) => this.drain(id, this.between(drainMs)));
    }
  }

  /** Cuts a data centre off from the holder, and then the others from its successor, which is in it. */
  private beginPartition(): void {
    const random = this.partitionRandom;
    const { deployment } = this;
    if (random.fraction() >= partitionRate) {
      return;
    }
    const centre = dataCentres[random.below(dataCentres.length)];
    const inside = deployment.pool.all.filter(({ entry }) => entry.dataCentre === centre);
    const outside = deployment.pool.all.filter(({ entry }) => entry.dataCentre !== centre);
    const [min, max] = partitionMs;
    const takeoverAfterMs = min + random.below(max - min);
    inside.forEach(({ id }) => deployment.cutRunners.add(id));
    setTimeout(() => {
      inside.forEach(({ id }) => deployment.cutRunners.delete(id));
      outside.forEach(({ id }) => deployment.cutRunners.add(id));
      deployment.takeOver();
    }, takeoverAfterMs);
    setTimeout(
      () => outside.forEach(({ id }) => deployment.cutRunners.delete(id)),
      takeoverAfterMs + min + random.below(max - min),
    );
  }

  /** Announces that a draining runner remains for a while. */
  public announce(id: string, durationMs: number): void {
    const { announcedEnds, now } = this.deployment;
    announcedEnds.set(id, now + durationMs - this.between(overtimeMs));
  }

  /** Takes the steps of a departure in a drawn order. */
  public leave(take: (step: DepartureStep) => void): void {
    const order = departureOrders[this.random.below(departureOrders.length)] ?? [];
    let afterMs = 0;
    order.forEach((step) => {
      setTimeout(() => take(step), afterMs);
      afterMs += this.between(departureStepMs);
    });
  }

  private drawChange({ processStartedAt }: ListedRunner): Partial<ListedRunner> {
    const changes: readonly Partial<ListedRunner>[] = [
      {},
      { isDraining: true, minRemainingMs: this.random.below(2_000) },
      { isDraining: false },
      { processStartedAt: processStartedAt + 1 + this.random.below(1_000) },
      { processStartedAt: Math.max(1, processStartedAt - 1 - this.random.below(1_000)) },
      { isDraining: true, minRemainingMs: 0, processStartedAt: processStartedAt + 1 },
    ];
    return changes[this.random.below(changes.length)] ?? {};
  }

  private isDrawn(rate: number): boolean {
    return this.random.fraction() < rate;
  }

  private between([min, max]: Period): number {
    return min + this.random.below(max - min);
  }

  private addFor(sets: readonly Set<string>[], ids: readonly string[], period: Period): void {
    const durationMs = this.between(period);
    sets.forEach((members) => {
      ids.forEach((id) => members.add(id));
      setTimeout(() => ids.forEach((id) => members.delete(id)), durationMs);
    });
  }
}
