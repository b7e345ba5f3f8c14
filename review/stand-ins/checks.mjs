/** Pairs of runs of one task that were at work at the same time, each on a runner that was up. */
export function findOverlaps(observed) {
  const overlaps = [];
  observed.forEach((first, index) => {
    observed.slice(index + 1).forEach((second) => {
      const isSame = first.task === second.task && first !== second;
      const endsAt = first.endedAt ?? Infinity;
      if (isSame && second.startedAt < endsAt) {
        const together = Math.min(endsAt, second.endedAt ?? Date.now()) - second.startedAt;
        overlaps.push(
          `TWICE ${first.task}: run ${first.run} on ${first.runner} and run ${second.run} on ` +
            `${second.runner} were at work at the same time for ${together} ms`,
        );
      }
    });
  });
  return overlaps;
}
