/**
 * Base of the typed errors. Each layer has its own union of `kind`s and turns errors from the
 * layer below into them, keeping the original as `cause`.
 */
export class LayerError<Kind extends string> extends Error {
  public constructor(
    public readonly kind: Kind,
    message: string,
    options?: ErrorOptions,
  ) {
    super(message, options);
    this.name = new.target.name;
  }
}

/** The message of anything thrown. */
export function messageOf(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
