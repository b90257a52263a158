/**
 * Refuses a request whose body may not have been read.
 */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {answerFor, type Failure} from '@lovagepond/core';
import {encodeCallerError, errorHeaders} from './caller_errors.js';

const LINGER_MS = 1_000;

/**
 * Answers at once and closes the connection.
 *
 * The rest of the body is discarded for a short time first: closing while the
 * caller still sends resets the connection, and the caller sees the reset in
 * place of the answer. The answer itself leaves at once and is whole by its
 * length; nothing of the body is kept meanwhile.
 *
 * @param req the request
 * @param res its response, nothing of it sent yet
 * @param failure why it is refused
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
  // A sender that was too slow gets no more time.
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
