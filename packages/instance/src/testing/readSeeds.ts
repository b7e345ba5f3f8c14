/** Reads a range of seeds, FROM-TO; undefined if there is none. */
export function readSeeds(range: string | undefined): number[] | undefined {
  const [from, to] = (range ?? '').split('-').map(Number);
  return from === undefined || to === undefined
    ? undefined
    : Array.from({ length: to - from + 1 }, (_, index) => from + index);
}
