/** Resource needs of a gang, as far as the oracle considers them. */
export interface OracleGang {
  readonly tasks: number;
  readonly acceleratorsPerTask: number;
  /** Whether all tasks must run in one rack. */
  readonly isAdjacent: boolean;
}

/**
 * Returns whether all gangs can be placed at the same time, by exhaustive search. It shares no code
 * with the scheduler, so that tests can check the scheduler against it. Only for small cases: the
 * cost grows exponentially.
 *
 * @param racks free accelerators of each worker, grouped by rack
 */
export function canPlaceTogether(
  racks: readonly (readonly number[])[],
  gangs: readonly OracleGang[],
): boolean {
  const free = racks.flat();
  const rackOf = racks.flatMap((workers, rack) => workers.map(() => rack));
  const visitedStates = new Set<string>();
  const gangsBySize = [...gangs].sort(
    (a, b) => b.tasks * b.acceleratorsPerTask - a.tasks * a.acceleratorsPerTask,
  );

  // Places the remaining tasks of a gang on workers from index `first` on, then the other gangs.
  function place(gang: number, task: number, first: number): boolean {
    const current = gangsBySize[gang];
    if (current === undefined) {
      return true;
    }
    if (task === current.tasks) {
      return place(gang + 1, 0, 0);
    }
    const key = `${gang}/${task}/${first}/${free.join()}`;
    if (visitedStates.has(key)) {
      return false;
    }
    visitedStates.add(key);
    const mustMatchRack = current.isAdjacent && task > 0;
    for (let worker = first; worker < free.length; worker += 1) {
      const freeBefore = free[worker] ?? 0;
      const isRackAllowed = !mustMatchRack || rackOf[worker] === rackOf[first];
      if (isRackAllowed && freeBefore >= current.acceleratorsPerTask) {
        free[worker] = freeBefore - current.acceleratorsPerTask;
        const isPlaced = place(gang, task + 1, worker);
        free[worker] = freeBefore;
        if (isPlaced) {
          return true;
        }
      }
    }
    return false;
  }

  return place(0, 0, 0);
}
