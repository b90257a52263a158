/**
 * Reads a request's body within a size limit and a time limit.
 */
import {type IncomingMessage} from 'node:http';
import {type Failure, makeFailure, type Result} from '@lovagepond/core';
import {
  BODY_FAILURE,
  type BodyFailure,
  receiveBody,
} from '@lovagepond/process/http_body';
import {type BodyBudget} from '@lovagepond/process/http_body_budget';

export interface BodyLimits {
  readonly maxBytes: number;
  readonly timeoutMs: number;
  /** Memory shared by all requests. */
  readonly budget: BodyBudget;
  /** @returns the failure to report when the shared budget is exhausted */
  readonly overload: () => Failure;
  /** Aborted with a failure when no more time is left to serve the request. */
  readonly leaving: AbortSignal;
}

/** A complete body. */
export interface ReceivedBody {
  readonly bytes: Uint8Array;
  /** Must be called when the body is needed no more. */
  readonly release: () => void;
}

/**
 * Reads the complete body. After a failure the rest is dropped, so the response
 * must be sent with `connection: close`.
 *
 * @param req the request
 * @param limits size limit, time limit and shared budget
 * @returns the body or the failure; never rejects
 */
export function readBody(
  req: IncomingMessage,
  limits: BodyLimits,
): Promise<Result<ReceivedBody>> {
  const failures: Readonly<Record<BodyFailure, () => Failure>> = {
    [BODY_FAILURE.TOO_LARGE]: () => makeFailure('payloadTooLarge'),
    [BODY_FAILURE.NO_ROOM]: limits.overload,
    [BODY_FAILURE.DISCONNECTED]: () => makeFailure('callerGone'),
  };
  return new Promise(resolve => {
    const finish = (result: Result<ReceivedBody>): void => {
      clearTimeout(timer);
      limits.leaving.removeEventListener('abort', onLeaving);
      resolve(result);
    };
    const refuse = (failure: Failure): void => {
      stop();
      finish({ok: false, failure});
    };
    const onLeaving = (): void => {
      refuse(limits.leaving.reason as Failure);
    };
    // A sender that trickles its body would occupy the connection and memory
    // indefinitely. One time limit covers the whole body; a further chunk does
    // not restart it.
    const timer = setTimeout(() => {
      refuse(makeFailure('senderTooSlow'));
    }, limits.timeoutMs);
    limits.leaving.addEventListener('abort', onLeaving);
    const stop = receiveBody(req, limits, {
      onWhole: (bytes, release) => {
        finish({ok: true, value: {bytes, release}});
      },
      onFailed: failure => {
        finish({ok: false, failure: failures[failure]()});
      },
    });
  });
}
