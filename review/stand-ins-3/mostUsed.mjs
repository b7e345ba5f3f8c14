/** Most accelerators that were in use at one time on any of the runners. */
export function mostUsed(runs, acceleratorsOf) {
  const events = runs.flatMap(({ task, runner, startedAt, endedAt }) => {
    const count = acceleratorsOf(task);
    const end = endedAt === 0 ? Infinity : endedAt;
    return [
      { runner, at: startedAt, change: count },
      { runner, at: end, change: -count },
    ];
  });
  const used = new Map();
  let most = 0;
  events
    .sort((left, right) => left.at - right.at || left.change - right.change)
    .forEach(({ runner, change }) => {
      used.set(runner, (used.get(runner) ?? 0) + change);
      most = Math.max(most, used.get(runner));
    });
  return most;
}
