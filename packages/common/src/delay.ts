/** Resolves after `milliseconds`. Uses the global timers so that tests can replace them. */
export function delay(milliseconds: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });
}
