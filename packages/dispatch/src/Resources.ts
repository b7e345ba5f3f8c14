/** Resources that a task uses or a runner provides. */
export interface Resources {
  /** Thousandths of a core. */
  readonly cpu: number;
  readonly memoryMb: number;
  readonly accelerators: number;
}

export const noResources: Resources = { cpu: 0, memoryMb: 0, accelerators: 0 };

/** Number of cores that one accelerator counts as in totals of work. */
const coresPerAccelerator = 8;
const milliCoresPerCore = 1_000;

export function add(left: Resources, right: Resources): Resources {
  return {
    cpu: left.cpu + right.cpu,
    memoryMb: left.memoryMb + right.memoryMb,
    accelerators: left.accelerators + right.accelerators,
  };
}

export function subtract(left: Resources, right: Resources): Resources {
  return {
    cpu: left.cpu - right.cpu,
    memoryMb: left.memoryMb - right.memoryMb,
    accelerators: left.accelerators - right.accelerators,
  };
}

export function multiply(each: Resources, count: number): Resources {
  return {
    cpu: each.cpu * count,
    memoryMb: each.memoryMb * count,
    accelerators: each.accelerators * count,
  };
}

/** The smaller one of each component. */
export function smallest(left: Resources, right: Resources): Resources {
  return {
    cpu: Math.min(left.cpu, right.cpu),
    memoryMb: Math.min(left.memoryMb, right.memoryMb),
    accelerators: Math.min(left.accelerators, right.accelerators),
  };
}

/** Replaces negative components by zero. */
export function clampToZero(value: Resources): Resources {
  return {
    cpu: Math.max(0, value.cpu),
    memoryMb: Math.max(0, value.memoryMb),
    accelerators: Math.max(0, value.accelerators),
  };
}

/** Number of tasks of size `each` that fit into `available`. */
export function countFitting(each: Resources, available: Resources): number {
  const fittingByResource = [
    each.cpu > 0 ? available.cpu / each.cpu : Infinity,
    each.memoryMb > 0 ? available.memoryMb / each.memoryMb : Infinity,
    each.accelerators > 0 ? available.accelerators / each.accelerators : Infinity,
  ];
  return Math.max(0, Math.floor(Math.min(...fittingByResource)));
}

/** Total size in cores, accelerators included. */
export function coresOf(size: Resources): number {
  return size.cpu / milliCoresPerCore + size.accelerators * coresPerAccelerator;
}
