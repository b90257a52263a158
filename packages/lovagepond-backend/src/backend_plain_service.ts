/**
 * Interface of plain services: backend servers that are not model engines.
 */
import {type Failure, type Unregister} from '@lovagepond/core';
import {type ServerNoticeListener} from './backend_server_notices.js';

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
 * The outcome of one call. The disposition of a failure's kind says whether the
 * service may have run the call; `notRun` means that no byte of it was sent.
 */
export type ServiceOutcome =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly contentType: string;
      readonly body: Uint8Array;
    }
  | {readonly kind: 'failed'; readonly failure: Failure};

export interface PlainService {
  /**
   * Sends the call once; never retries it.
   *
   * @param request the call
   * @param now current time, monotonic milliseconds
   * @param signal aborts the call; if no byte was sent yet, it is not run
   * @returns the outcome; never throws
   */
  call(
    request: ServiceRequest,
    now: number,
    signal?: AbortSignal,
  ): Promise<ServiceOutcome>;
  /** @returns true when the service accepts connections */
  probe(): Promise<boolean>;
  /**
   * @param listener called when a response says that the server wants a pause
   *     or is about to exit
   * @returns a function that removes the listener
   */
  onNotice(listener: ServerNoticeListener): Unregister;
  /** Closes all connections. */
  close(): Promise<void>;
}
