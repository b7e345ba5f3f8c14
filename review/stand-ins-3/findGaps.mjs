/** Spans between `from` and `until` in which none of the runs was at work, in Unix milliseconds. */
export function findGaps(runs, from, until) {
  const gaps = [];
  let workedUntil = from;
  [...runs]
    .sort((left, right) => left.startedAt - right.startedAt)
    .forEach(({ startedAt, endedAt }) => {
      if (Math.min(startedAt, until) > workedUntil) {
        gaps.push({ from: workedUntil, until: Math.min(startedAt, until) });
      }
      workedUntil = Math.max(workedUntil, endedAt === 0 ? until : endedAt);
    });
  return until > workedUntil ? [...gaps, { from: workedUntil, until }] : gaps;
}
