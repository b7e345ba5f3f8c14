/** Multiple of the objective up to which a late job still has value for its client. */
export const maxLateFactor = 3;
