/**
 * Recognizes malformed requests, and responds to those that Node's HTTP parser
 * rejects, which no handler sees.
 */
import {type IncomingMessage, STATUS_CODES} from 'node:http';
import {type Socket} from 'node:net';
import {answerFor, type ErrorKind, type Logger} from '@lovagepond/core';

/** Maps error codes of Node's HTTP parser to error kinds. */
const PARSER_ERRORS: Readonly<Record<string, ErrorKind>> = {
  HPE_HEADER_OVERFLOW: 'headersTooLarge',
  ERR_HTTP_REQUEST_TIMEOUT: 'senderTooSlow',
};

/**
 * @param err the parser's error
 * @param socket the connection to the caller, which is closed
 * @param log logs the reason
 */
export function rejectUnparsable(
  err: Error & {code?: string},
  socket: Socket,
  log: Logger,
): void {
  const kind = PARSER_ERRORS[err.code ?? ''] ?? 'badRequest';
  log.info('request could not be parsed', {reason: err.code ?? err.message});
  if (!socket.writable || err.code === 'ECONNRESET') {
    socket.destroy();
    return;
  }
  const {status} = answerFor(kind);
  const line = `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}`;
  socket.end(`${line}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n`);
}

/**
 * @param req a request whose head was parsed
 * @param maxHeaderBytes limit on its headers
 * @returns why it is malformed; undefined if it isn't
 */
export function findFault(
  {rawHeaders, url}: IncomingMessage,
  maxHeaderBytes: number,
): ErrorKind | undefined {
  const size = rawHeaders.reduce((sum, text) => sum + text.length + 2, 0);
  if (size > maxHeaderBytes) return 'headersTooLarge';
  if (!url?.startsWith('/')) return 'badRequest';
  const hosts = rawHeaders.filter(
    (text, at) => at % 2 === 0 && text.toLowerCase() === 'host',
  );
  return hosts.length === 1 ? undefined : 'badRequest';
}
