/**
 * Base class of typed errors. Each layer defines its own union of `kind`s and wraps errors of the
 * layer below, with the original as `cause`.
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

/** Returns the message of any thrown value. */
export function messageOf(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
