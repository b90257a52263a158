/**
 * Storage failures. Each one stops the member, which must not answer from state
 * that may not be on the disk.
 */

/** Reason for a storage failure: a tagged union over `kind`. */
export type StorageFailure =
  /** Stored bytes differ from those written, and not by a torn last write. */
  | {
      readonly kind: 'damaged';
      readonly file: string;
      readonly offset: number;
      readonly detail: string;
    }
  /** The disk or the quota is full. */
  | {readonly kind: 'diskFull'; readonly file: string}
  /** An I/O operation failed. */
  | {
      readonly kind: 'ioFailed';
      readonly operation: string;
      readonly file: string;
      readonly code: string;
    }
  /** An earlier call failed, or storage was closed. */
  | {readonly kind: 'stopped'};

const DESCRIPTIONS: {
  readonly [Kind in StorageFailure['kind']]: (
    failure: Extract<StorageFailure, {kind: Kind}>,
  ) => string;
} = {
  damaged: ({file, offset, detail}) =>
    `${file} is damaged at byte ${offset}: ${detail}`,
  diskFull: ({file}) => `no room left on the disk for ${file}`,
  ioFailed: ({operation, file, code}) =>
    `${operation} of ${file} failed: ${code}`,
  stopped: () => 'storage is closed or an earlier call failed',
};

/** Thrown by storage. A member stops when it receives this error. */
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
 * @param operation the failed operation
 * @param file name of the file
 * @param err the error reported by the operating system
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
