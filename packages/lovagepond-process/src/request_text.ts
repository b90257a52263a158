/**
 * Reads the body of a request as text.
 */
import {type IncomingMessage} from 'node:http';
import {BODY_FAILURE, type BodyLimits, receiveBody} from './http_body.js';

/** Why a text was not read. */
export type TextFailure =
  typeof BODY_FAILURE.TOO_LARGE | typeof BODY_FAILURE.NO_ROOM;

export type TextResult =
  | {readonly ok: true; readonly text: string}
  | {readonly ok: false; readonly failure: TextFailure};

/**
 * After a failure the rest of the body is dropped as it arrives.
 *
 * @param req the request
 * @param limits limits of the body
 * @param signal drops the body when it is aborted
 * @returns the body as text, or why it was not read
 * @throws when the connection closes before the end of the body
 */
export function readText(
  req: IncomingMessage,
  limits: BodyLimits,
  signal?: AbortSignal,
): Promise<TextResult> {
  return new Promise((resolve, reject) => {
    const stop = receiveBody(req, limits, {
      onWhole: (body, release) => {
        resolve({ok: true, text: body.toString('utf8')});
        release();
      },
      onFailed: failure => {
        if (failure === BODY_FAILURE.DISCONNECTED) {
          reject(new Error('the connection closed before the end of the body'));
        } else resolve({ok: false, failure});
      },
    });
    signal?.addEventListener('abort', stop, {once: true});
  });
}
