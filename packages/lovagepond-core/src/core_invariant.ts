/**
 * Checks of conditions that only a bug in this program can break.
 */

/** Thrown by {@link invariant}: a bug in the program, never invalid input. */
export class InvariantError extends Error {
  /** The number of the broken invariant, unique in the code base. */
  readonly code: number;

  constructor(code: number, message: string) {
    super(`invariant ${code}: ${message}`);
    this.name = 'InvariantError';
    this.code = code;
  }
}

/**
 * @param condition what must be true
 * @param code number of this invariant, unique in the code base
 * @param message describes the violation, for the log
 * @throws InvariantError when the condition is false
 */
export function invariant(
  condition: unknown,
  code: number,
  message: string,
): asserts condition {
  if (!condition) throw new InvariantError(code, message);
}
