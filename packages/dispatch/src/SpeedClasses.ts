import type { DispatchState } from './DispatchState.js';
import type { RunnerSpeed } from './RunnerSpeed.js';

/** Smallest difference of two classes, in logarithms: half of what the requirements call slow. */
const minDifferenceLog = 0.12;
/**
 * Deviation of the logarithm of one sample until enough are known: tasks that vary by 30 % have 0.17,
 * and the tasks that they are compared with vary too.
 */
const priorDeviation = 0.2;
/** Number of samples as which the prior deviation counts. */
const priorSamples = 6;
/**
 * Standard deviations by which the differences between runners must exceed those by chance. Runners
 * are judged again ten times a second, so that an error of one in a thousand would show all the time.
 */
const minSignificance = 6;
/** Each class is split in two at most this many times: the requirements name up to three speeds. */
const maxSplits = 2;
const speedDecimals = 2;

/**
 * Groups the runners into classes of like speed. All runners of a class have the same speed, so that
 * differences by chance do not influence placements: where all are alike, the only class has speed 1.
 */
export class SpeedClasses {
  private currentLevels: readonly number[] = [1];

  /** Speeds of all runners, in ascending order. */
  public get levels(): readonly number[] {
    return this.currentLevels;
  }

  /** Speeds of all runners, for operators. */
  public get description(): string {
    return this.currentLevels.map((level) => level.toFixed(speedDecimals)).join(',');
  }

  public get isUneven(): boolean {
    return this.currentLevels.length > 1;
  }

  /**
   * Assigns each runner its class.
   *
   * @returns whether the number of classes has changed
   */
  public update(runners: Iterable<{ readonly speed: RunnerSpeed }>): boolean {
    const speeds = [...runners].map(({ speed }) => speed);
    const known = speeds.filter(({ isCertain }) => isCertain);
    const centreLog =
      known.reduce((sum, { sampleLog }) => sum + sampleLog, 0) / (known.length || 1);
    known.sort((left, right) => left.sampleLog - right.sampleLog);
    const classes = divide(known, sampleVariance(known), maxSplits);
    speeds.filter(({ isCertain }) => !isCertain).forEach((speed) => speed.assign(1, centreLog));
    classes.forEach((members) => {
      const value = classes.length === 1 ? 1 : Math.exp(meanOf(members) - centreLog);
      members.forEach((speed) => speed.assign(value, centreLog));
    });
    const before = this.currentLevels.length;
    const levels = new Set(speeds.map(({ value }) => value));
    this.currentLevels = levels.size === 0 ? [1] : [...levels].sort((left, right) => left - right);
    return this.currentLevels.length !== before;
  }
}

/** Assigns each runner its class; operators see changes of their number. */
export function updateSpeedClasses({ speedClasses, runners, log }: DispatchState): void {
  if (speedClasses.update(runners.values())) {
    log.decide('speedClassesChanged', { speeds: speedClasses.description });
  }
}

/** Variance of one sample, from the deviations of samples of the same runner. */
function sampleVariance(speeds: readonly RunnerSpeed[]): number {
  let squares = priorSamples * priorDeviation ** 2;
  let count = priorSamples;
  speeds.forEach(({ scatter }) => {
    squares += scatter.squares;
    count += scatter.count;
  });
  return squares / count;
}

function weightOf(speeds: readonly RunnerSpeed[]): number {
  return speeds.reduce((sum, { effectiveSamples }) => sum + effectiveSamples, 0);
}

function meanOf(speeds: readonly RunnerSpeed[]): number {
  const sum = speeds.reduce((total, each) => total + each.effectiveSamples * each.sampleLog, 0);
  return sum / (weightOf(speeds) || 1);
}

/** Divides speeds in ascending order into classes that differ by more than chance. */
function divide(
  speeds: readonly RunnerSpeed[],
  variance: number,
  splits: number,
): (readonly RunnerSpeed[])[] {
  const freedom = speeds.length - 1;
  if (splits === 0 || freedom < 1) {
    return speeds.length === 0 ? [] : [speeds];
  }
  const mean = meanOf(speeds);
  // Cochran's test of homogeneity: the expected sum for alike runners is the degrees of freedom.
  const excess = speeds.reduce(
    (sum, each) => sum + (each.effectiveSamples * (each.sampleLog - mean) ** 2) / variance,
    0,
  );
  const isUneven = excess > freedom + minSignificance * Math.sqrt(2 * freedom);
  const parts = isUneven ? splitInTwo(speeds) : separateOutliers(speeds, mean, variance);
  const differsEnough = parts.every(
    (part, index) =>
      index === 0 || meanOf(part) - meanOf(parts[index - 1] ?? []) >= minDifferenceLog,
  );
  return parts.length > 1 && differsEnough
    ? parts.flatMap((part) => divide(part, variance, splits - 1))
    : [speeds];
}

/** Splits where the variance between both parts is greatest. */
function splitInTwo(speeds: readonly RunnerSpeed[]): (readonly RunnerSpeed[])[] {
  const totalWeight = weightOf(speeds);
  const total = meanOf(speeds) * totalWeight;
  let weight = 0;
  let sum = 0;
  let greatest = -Infinity;
  let splitAt = 0;
  speeds.slice(0, -1).forEach((speed, index) => {
    weight += speed.effectiveSamples;
    sum += speed.effectiveSamples * speed.sampleLog;
    const between = sum ** 2 / weight + (total - sum) ** 2 / (totalWeight - weight);
    if (between > greatest) {
      greatest = between;
      splitAt = index + 1;
    }
  });
  return [speeds.slice(0, splitAt), speeds.slice(splitAt)];
}

/** Separates single runners that are far from all others, such as a faulty one among hundreds. */
function separateOutliers(
  speeds: readonly RunnerSpeed[],
  mean: number,
  variance: number,
): (readonly RunnerSpeed[])[] {
  const significance = (each: RunnerSpeed): number =>
    (each.sampleLog - mean) * Math.sqrt(each.effectiveSamples / variance);
  const parts = [
    speeds.filter((each) => significance(each) < -minSignificance),
    speeds.filter((each) => Math.abs(significance(each)) <= minSignificance),
    speeds.filter((each) => significance(each) > minSignificance),
  ];
  return parts.filter(({ length }) => length > 0);
}
