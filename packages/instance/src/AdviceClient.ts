import { LayerError } from '@apricothoist/common';
import type { AdviceAnswer, AdviceQuestion } from '@apricothoist/dispatch';
import type { Result } from 'neverthrow';

export const AdviceErrorKind = {
  /** No response before the deadline. */
  unanswered: 'unanswered',
  /** Too many calls wait at the service. */
  busy: 'busy',
  /** The service rejected this question. */
  refused: 'refused',
  /** The answer cannot be read. */
  invalid: 'invalid',
} as const;
export type AdviceErrorKind = (typeof AdviceErrorKind)[keyof typeof AdviceErrorKind];

/** Error of a call to the advice service. */
export class AdviceError extends LayerError<AdviceErrorKind> {}

/** Client of the service that says which runners may run a step. */
export interface AdviceClient {
  /** @param deadline monotonic milliseconds */
  advise(question: AdviceQuestion, deadline: number): Promise<Result<AdviceAnswer, AdviceError>>;
}
