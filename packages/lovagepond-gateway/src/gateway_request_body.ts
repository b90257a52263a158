/**
 * Buffers a request's body before anything of it is forwarded. An incomplete
 * request then never runs at a server, and a forwarded one can be retried.
 */
import {type IncomingMessage} from 'node:http';
import {type ErrorKind} from '@lovagepond/core';
import {
  BODY_FAILURE,
  type BodyFailure,
  type BodyLimits,
  receiveBody,
} from '@lovagepond/process/http_body';

/** Receives the result of reading a body; exactly one method is called. */
export interface BodyListener {
  /** @param release must be called when the body is needed no more */
  onWhole(body: Buffer, release: () => void): void;
  onRefused(error: ErrorKind): void;
  /** The caller disconnected, so that no response is needed. */
  onDisconnected(): void;
}

const FAILURES: Readonly<
  Record<BodyFailure, (listener: BodyListener) => void>
> = {
  [BODY_FAILURE.TOO_LARGE]: listener => {
    listener.onRefused('payloadTooLarge');
  },
  [BODY_FAILURE.NO_ROOM]: listener => {
    listener.onRefused('overloaded');
  },
  [BODY_FAILURE.DISCONNECTED]: listener => {
    listener.onDisconnected();
  },
};

/**
 * @param req the request
 * @param limits limits of the body
 * @param limitMs time limit for the whole body, milliseconds
 * @param listener receives the result
 * @returns rejects the request unless the result is known
 */
export function readBody(
  req: IncomingMessage,
  limits: BodyLimits,
  limitMs: number,
  listener: BodyListener,
): (error: ErrorKind) => void {
  let isOver = false;
  const end = (): void => {
    isOver = true;
    clearTimeout(timer);
  };
  const refuse = (error: ErrorKind): void => {
    if (isOver) return;
    end();
    stop();
    listener.onRefused(error);
  };
  const timer = setTimeout(() => {
    refuse('senderTooSlow');
  }, limitMs);
  const stop = receiveBody(req, limits, {
    onWhole: (body, release) => {
      end();
      listener.onWhole(body, release);
    },
    onFailed: failure => {
      end();
      FAILURES[failure](listener);
    },
  });
  return refuse;
}
