/**
 * Inputs and results of admission control.
 *
 * All times are monotonic milliseconds. Work is milliseconds of a server's time:
 * for a call its service time divided by the server's slots, for a prompt the
 * tokens to be computed divided by the server's prefill rate.
 */

/** Predicted times of a request at one server, milliseconds from now. */
export interface PredictedTimes {
  /** Wait until the server begins with the request. */
  readonly startMs: number;
  /** Time to the first token of a stream, or to the whole answer of a call. */
  readonly firstResponseMs: number;
  readonly doneMs: number;
}

const MAX_ESTIMATE_MS = 1e9;

/**
 * @param ms an estimate, milliseconds
 * @returns it as a number from 0 to 10⁹; 0, the value for unknown, when it is
 *     negative or no number
 */
export function boundEstimate(ms: number): number {
  return ms > 0 ? Math.min(MAX_ESTIMATE_MS, ms) : 0;
}

/** A request that admission control decides on. */
export interface AdmissionRequest {
  /** Unique at this gateway. */
  readonly id: string;
  /** Empty on public routes. */
  readonly workspace: string;
  /** 0 (lowest) to 9. */
  readonly priority: number;
  /** Name of the request kind. */
  readonly kind: string;
  /** Time from the arrival within which the response is in target. */
  readonly targetLatencyMs: number;
  readonly arrivedAt: number;
  readonly deadlineAt: number;
  /** Size of the buffered request. */
  readonly bytes: number;
}

/** A server that accepts requests, as admission control sees it. */
export interface LoadedServer<R extends AdmissionRequest = AdmissionRequest> {
  readonly name: string;
  readonly slots: number;
  /**
   * Requests in the server's own queue by its latest report, which the answer
   * being noted may have brought; undefined when it reports none.
   */
  readonly reportedWaiting?: number | undefined;
  /**
   * @param req a request
   * @param now current time
   * @returns its predicted times if it were sent now
   */
  predict(req: R, now: number): PredictedTimes;
  /**
   * @param req a request
   * @param now current time
   * @returns its predicted times if the server were idle
   */
  predictIdle(req: R, now: number): PredictedTimes;
  /**
   * @param req a request
   * @param now current time
   * @returns the server's time that the request takes, milliseconds
   */
  workMs(req: R, now: number): number;
}

/** Weights of workspaces and of this gateway in one pool. */
export interface ShareWeights {
  /**
   * @param workspace a workspace's name
   * @returns its weight in round robin at this gateway, above 0 and relative to
   *     1 for an ordinary workspace
   */
  weightOf(workspace: string): number;
  /** This gateway's part relative to the mean gateway, 1/8 to 8. */
  readonly gatewayWeight: number;
  /** Gateways that share the pool, as far as known; 1 when absent. */
  readonly gateways?: number;
}

/** Why a request was refused; each refused request has not run. */
export const ADMISSION_REFUSAL = {
  /** The queue holds its limit of requests or bytes. */
  QUEUE_FULL: 'queueFull',
  /** The workspace has as many requests waiting as can start in time. */
  FLOW_FULL: 'flowFull',
  /** The latest start time at which the response is in target has passed. */
  EXPIRED: 'expired',
  /** The deadline can't be met. */
  DEADLINE: 'deadline',
  /** No server of the pool is left. */
  NO_SERVER: 'noServer',
} as const;

export type AdmissionRefusalReason =
  (typeof ADMISSION_REFUSAL)[keyof typeof ADMISSION_REFUSAL];

/** A refusal, with the time after which the caller should retry. */
export interface AdmissionRefusal {
  readonly reason: AdmissionRefusalReason;
  readonly retryAfterMs: number;
  /** Work per millisecond that the workspace's priority can expect to start. */
  readonly flowRate: number;
}

/** A request that waited and is refused. */
export interface RefusedRequest<R extends AdmissionRequest> {
  readonly req: R;
  readonly refusal: AdmissionRefusal;
}

/** Decision on a request that has arrived. */
export type AdmissionDecision =
  | {readonly kind: 'start'}
  | {readonly kind: 'wait'}
  | ({readonly kind: 'refuse'} & AdmissionRefusal);

/** Limits of one pool's admission control, from its configuration. */
export interface AdmissionSettings {
  readonly maxQueuedRequests: number;
  readonly maxQueuedBytes: number;
  /** Part of a request's slack that it may wait in a server's own queue. */
  readonly serverQueuePart: number;
  /** Part of the dispatches kept for lower priorities while higher ones wait. */
  readonly lowerPriorityPart: number;
}
