/** Amounts that differ by less are the same. */
export const EPSILON = 1e-6;
