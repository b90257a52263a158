/**
 * Reads a request's body within a size limit and a time limit.
 */
import {type IncomingMessage} from 'node:http';
import {type Failure, makeFailure, type Result} from '@lovagepond/core';
import {type BodyLease} from './caller_body_budget.js';

const TOO_LARGE = {
  ok: false,
  failure: makeFailure('payloadTooLarge'),
} as const;

export interface BodyLimits {
  readonly maxBytes: number;
  readonly timeoutMs: number;
  /** Reserves the bytes in the budget shared by all requests. */
  readonly lease: BodyLease;
  /** @returns the failure to report when the shared budget is exhausted */
  readonly overload: () => Failure;
  /** Aborted with a failure when no more time is left to serve the request. */
  readonly leaving: AbortSignal;
}

/**
 * Reads the complete body. After a failure the rest is not read, so the
 * response must be sent with `connection: close`.
 *
 * @param req the request
 * @param limits size limit, time limit and shared budget
 * @returns the body or the failure; never rejects
 */
export function readBody(
  req: IncomingMessage,
  limits: BodyLimits,
): Promise<Result<Uint8Array>> {
  const declaredLength = Number(req.headers['content-length'] ?? 0);
  // Rejecting an oversized body by its declared length costs no memory.
  if (declaredLength > limits.maxBytes) return Promise.resolve(TOO_LARGE);
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    let length = 0;
    const finish = (result: Result<Uint8Array>): void => {
      clearTimeout(timer);
      req.off('data', onData);
      req.off('end', onEnd);
      req.off('close', onClose);
      limits.leaving.removeEventListener('abort', onLeaving);
      resolve(result);
    };
    const onData = (chunk: Buffer): void => {
      length += chunk.length;
      if (length > limits.maxBytes) finish(TOO_LARGE);
      // Each body is small, but thousands arriving at once could exhaust the
      // process's memory, and its exit would end all other responses.
      else if (!limits.lease.add(chunk.length)) {
        finish({ok: false, failure: limits.overload()});
      } else chunks.push(chunk);
    };
    const onEnd = (): void => {
      finish({ok: true, value: Buffer.concat(chunks, length)});
    };
    const onClose = (): void => {
      finish({ok: false, failure: makeFailure('callerGone')});
    };
    const onLeaving = (): void => {
      finish({ok: false, failure: limits.leaving.reason as Failure});
    };
    // A sender that trickles its body would occupy the connection and memory
    // indefinitely. One time limit covers the whole body; a further chunk does
    // not restart it.
    const timer = setTimeout(() => {
      finish({ok: false, failure: makeFailure('senderTooSlow')});
    }, limits.timeoutMs);
    req.on('data', onData);
    req.on('end', onEnd);
    req.on('close', onClose);
    limits.leaving.addEventListener('abort', onLeaving);
  });
}
