/**
 * Sends an error response to a request whose body may be unread.
 */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {answerFor, type Failure} from '@lovagepond/core';
import {encodeCallerError, errorHeaders} from './caller_errors.js';

const LINGER_MS = 1_000;

/**
 * Sends the error response immediately and closes the connection after it.
 *
 * Before the close, the rest of the body is read and discarded for a short
 * time. Closing while the caller still sends would reset the connection, and
 * the caller would see the reset instead of the response. The response has a
 * content length, so it is complete before the close.
 *
 * @param req the request
 * @param res its response, of which nothing was sent
 * @param failure the failure to report
 */
export function sendErrorAndClose(
  req: IncomingMessage,
  res: ServerResponse,
  failure: Failure,
): void {
  if (res.destroyed) return;
  const body = encodeCallerError(failure);
  res.on('error', () => {});
  res.writeHead(answerFor(failure.kind).status, {
    ...errorHeaders(failure),
    'content-length': String(Buffer.byteLength(body)),
    connection: 'close',
  });
  res.write(body);
  // A sender that was already too slow gets no further time.
  if (req.complete || failure.kind === 'senderTooSlow') {
    res.end();
    return;
  }
  const finish = (): void => {
    clearTimeout(timer);
    res.end();
  };
  const timer = setTimeout(finish, LINGER_MS);
  req.on('end', finish);
  res.on('close', () => {
    clearTimeout(timer);
  });
  req.resume();
}
