/**
 * How storage fails. Each failure stops the member: it must not answer from
 * state that may not be on the disk.
 */

/** Why storage failed: a tagged union over `kind`. */
export type StorageFailure =
  /** Stored bytes are not what was written, and not by a torn last write. */
  | {
      readonly kind: 'damaged';
      readonly file: string;
      readonly offset: number;
      readonly detail: string;
    }
  /** The disk has no room left. */
  | {readonly kind: 'diskFull'; readonly file: string}
  /** A write, sync, rename or read failed. */
  | {
      readonly kind: 'ioFailed';
      readonly operation: string;
      readonly file: string;
      readonly code: string;
    }
  /** An earlier call failed, or storage is closed. */
  | {readonly kind: 'stopped'};

const DESCRIPTIONS: {
  readonly [Kind in StorageFailure['kind']]: (
    failure: Extract<StorageFailure, {kind: Kind}>,
  ) => string;
} = {
  damaged: ({file, offset, detail}) =>
    `${file} is damaged at byte ${offset}: ${detail}`,
  diskFull: ({file}) => `no room left on the disk for ${file}`,
  ioFailed: ({operation, file, code}) => `${operation} of ${file}: ${code}`,
  stopped: () => 'storage has stopped',
};

/** Thrown by storage; the member that gets it stops. */
export class StorageError extends Error {
  readonly failure: StorageFailure;

  constructor(failure: StorageFailure) {
    const describe = DESCRIPTIONS[failure.kind] as (
      failure: StorageFailure,
    ) => string;
    super(describe(failure));
    this.name = 'StorageError';
    this.failure = failure;
  }
}

/**
 * @param operation what was tried
 * @param file on which file
 * @param err what the operating system reported
 * @returns the error to throw
 */
export function toStorageError(
  operation: string,
  file: string,
  err: unknown,
): StorageError {
  if (err instanceof StorageError) return err;
  const hasCode = err instanceof Error && 'code' in err;
  const code = hasCode ? String(err.code) : String(err);
  if (code === 'ENOSPC' || code === 'EDQUOT') {
    return new StorageError({kind: 'diskFull', file});
  }
  return new StorageError({kind: 'ioFailed', operation, file, code});
}
