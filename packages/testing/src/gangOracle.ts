/** A gang as the oracle sees it. */
export interface OracleGang {
  readonly tasks: number;
  readonly acceleratorsPerTask: number;
  /** Whether all tasks must stand in one rack. */
  readonly isAdjacent: boolean;
}

/**
 * Whether all gangs fit at the same time, by trying every way. Shares no code with the scheduler.
 * Only for small cases: the cost grows exponentially.
 *
 * @param racks free accelerators of each worker, by rack
 */
export function canPlaceTogether(
  racks: readonly (readonly number[])[],
  gangs: readonly OracleGang[],
): boolean {
  const free = racks.flat();
  const rackOf = racks.flatMap((workers, rack) => workers.map(() => rack));
  const seen = new Set<string>();
  const ordered = [...gangs].sort(
    (a, b) => b.tasks * b.acceleratorsPerTask - a.tasks * a.acceleratorsPerTask,
  );

  // Places the remaining tasks of one gang on workers from `first` on, then the other gangs.
  function place(gang: number, task: number, first: number): boolean {
    const wanted = ordered[gang];
    if (wanted === undefined) {
      return true;
    }
    if (task === wanted.tasks) {
      return place(gang + 1, 0, 0);
    }
    const key = `${gang}/${task}/${first}/${free.join()}`;
    if (seen.has(key)) {
      return false;
    }
    seen.add(key);
    const isBound = wanted.isAdjacent && task > 0;
    for (let worker = first; worker < free.length; worker += 1) {
      const room = free[worker] ?? 0;
      const isInRack = !isBound || rackOf[worker] === rackOf[first];
      if (isInRack && room >= wanted.acceleratorsPerTask) {
        free[worker] = room - wanted.acceleratorsPerTask;
        const isPlaced = place(gang, task + 1, worker);
        free[worker] = room;
        if (isPlaced) {
          return true;
        }
      }
    }
    return false;
  }

  return place(0, 0, 0);
}
