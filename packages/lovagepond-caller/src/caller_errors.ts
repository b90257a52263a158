/**
 * Encodes failures for callers, in the same JSON shape for every kind.
 */
import {answerFor, type Failure} from '@lovagepond/core';

const MS_PER_SECOND = 1000;

export interface CallerErrorBody {
  readonly error: {
    readonly kind: Failure['kind'];
    /** `notRun`, `mayHaveRun` or `ran`. */
    readonly disposition: string;
    readonly message: string;
    /** 0 if a retry is of no use. */
    readonly retryAfterMs: number;
  };
}

/**
 * @param failure the failure
 * @returns the JSON text of its error body
 */
export function encodeCallerError(failure: Failure): string {
  const body: CallerErrorBody = {
    error: {
      kind: failure.kind,
      disposition: answerFor(failure.kind).disposition,
      message: failure.message,
      retryAfterMs: retryAfterOf(failure),
    },
  };
  return JSON.stringify(body);
}

/** @returns milliseconds until the caller may retry, 0 if it should not */
function retryAfterOf(failure: Failure): number {
  if (!answerFor(failure.kind).retryable) return 0;
  return Math.max(1, Math.ceil(failure.retryAfterMs));
}

/**
 * @param failure the failure
 * @returns headers of its response; `retry-after` in seconds, rounded up
 */
export function errorHeaders(failure: Failure): Record<string, string> {
  const headers: Record<string, string> = {'content-type': 'application/json'};
  const retryAfterMs = retryAfterOf(failure);
  if (retryAfterMs > 0) {
    headers['retry-after'] = String(Math.ceil(retryAfterMs / MS_PER_SECOND));
  }
  return headers;
}

/**
 * @param failure a failure after the head of a stream was sent
 * @returns the server-sent event that ends the stream
 */
export function encodeErrorEvent(failure: Failure): string {
  return `event: error\ndata: ${encodeCallerError(failure)}\n\n`;
}

/**
 * @param failure a failure before the request could be parsed
 * @returns a complete HTTP/1.1 response that closes the connection
 */
export function encodeRawResponse(failure: Failure): string {
  const body = encodeCallerError(failure);
  const headers = {
    ...errorHeaders(failure),
    'content-length': String(Buffer.byteLength(body)),
    connection: 'close',
  };
  const lines = Object.entries(headers).map(pair => pair.join(': '));
  const status = answerFor(failure.kind).status;
  return [`HTTP/1.1 ${status} Error`, ...lines, '', body].join('\r\n');
}
