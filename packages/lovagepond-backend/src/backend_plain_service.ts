/**
 * What the system asks of a plain service beside the model engines.
 */
import {type Failure} from '@lovagepond/core';

/** One call handed to a plain service. */
export interface ServiceRequest {
  readonly requestId: string;
  readonly workspace: string;
  readonly path: string;
  readonly contentType: string;
  readonly body: Uint8Array;
  readonly idempotencyKey?: string;
  /** The call must not run twice. */
  readonly nonRepeatable: boolean;
  /** Monotonic milliseconds. */
  readonly deadline: number;
}

/**
 * The outcome of one call. A failure's kind says by its disposition whether
 * the service may have run the call: not run means that no byte of it left.
 */
export type ServiceOutcome =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly contentType: string;
      readonly body: Uint8Array;
    }
  | {readonly kind: 'failed'; readonly failure: Failure};

/** A plain service. */
export interface PlainService {
  /**
   * Sends the call once; never repeats it by itself.
   *
   * @param request the call
   * @param now present time, monotonic milliseconds
   * @param signal gives the call up; before its first byte left it is not run
   * @returns the outcome; never throws
   */
  call(
    request: ServiceRequest,
    now: number,
    signal?: AbortSignal,
  ): Promise<ServiceOutcome>;
  /** @returns true when the service accepts connections */
  probe(): Promise<boolean>;
  /** Ends all connections. */
  close(): Promise<void>;
}
