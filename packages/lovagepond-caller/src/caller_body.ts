/**
 * Reads a request's body within a size and a time.
 */
import {type IncomingMessage} from 'node:http';
import {type Failure, makeFailure, type Result} from '@lovagepond/core';
import {type BodyLease} from './caller_body_budget.js';

const TOO_LARGE = {
  ok: false,
  failure: makeFailure('payloadTooLarge'),
} as const;

/** Bounds of one body. */
export interface BodyLimits {
  readonly maxBytes: number;
  readonly timeoutMs: number;
  /** Counts the bytes against those of all other requests. */
  readonly lease: BodyLease;
  /** @returns the failure when all bodies together are at their bound */
  readonly overload: () => Failure;
}

/**
 * Reads the whole body. After a failure the rest is not read: the caller of
 * this function must answer with `connection: close`.
 *
 * @param req the request
 * @param limits its size and its time
 * @returns the body, or why there is none; never rejects
 */
export function readBody(
  req: IncomingMessage,
  limits: BodyLimits,
): Promise<Result<Uint8Array>> {
  const declared = Number(req.headers['content-length'] ?? 0);
  // Refused by its declared length, an oversize body costs no memory at all.
  if (declared > limits.maxBytes) return Promise.resolve(TOO_LARGE);
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    let length = 0;
    const finish = (result: Result<Uint8Array>): void => {
      clearTimeout(timer);
      req.off('data', onData);
      req.off('end', onEnd);
      req.off('close', onClose);
      resolve(result);
    };
    const onData = (chunk: Buffer): void => {
      length += chunk.length;
      if (length > limits.maxBytes) finish(TOO_LARGE);
      // Each body is small, but a wave of callers sends thousands at once, and
      // together they would end the process with everyone's answers.
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
    // A sender that trickles its body would hold the connection and what was
    // read of it for good; the whole body has one time limit, so that single
    // bytes sent to look alive don't extend it.
    const timer = setTimeout(() => {
      finish({ok: false, failure: makeFailure('senderTooSlow')});
    }, limits.timeoutMs);
    req.on('data', onData);
    req.on('end', onEnd);
    req.on('close', onClose);
  });
}
