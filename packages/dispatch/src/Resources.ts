/** What a task takes from a runner, or what a runner offers. */
export interface Resources {
  /** Thousandths of a core. */
  readonly cpu: number;
  readonly memoryMb: number;
  readonly accelerators: number;
}

export const noResources: Resources = { cpu: 0, memoryMb: 0, accelerators: 0 };

/** Cores that one accelerator counts as when work is added up. */
const coresPerAccelerator = 8;
const milliCores = 1_000;

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

/** Raises every negative part to zero. */
export function clampToZero(value: Resources): Resources {
  return {
    cpu: Math.max(0, value.cpu),
    memoryMb: Math.max(0, value.memoryMb),
    accelerators: Math.max(0, value.accelerators),
  };
}

/** How many tasks of size `each` fit into `room`. */
export function countFitting(each: Resources, room: Resources): number {
  const perPart = [
    each.cpu > 0 ? room.cpu / each.cpu : Infinity,
    each.memoryMb > 0 ? room.memoryMb / each.memoryMb : Infinity,
    each.accelerators > 0 ? room.accelerators / each.accelerators : Infinity,
  ];
  return Math.max(0, Math.floor(Math.min(...perPart)));
}

/** Size in cores, accelerators included. */
export function coresOf(size: Resources): number {
  return size.cpu / milliCores + size.accelerators * coresPerAccelerator;
}
