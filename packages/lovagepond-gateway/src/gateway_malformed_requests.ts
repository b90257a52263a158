/**
 * Recognizes malformed requests, and responds to those that Node's HTTP parser
 * rejects, which no handler sees.
 */
import {type IncomingMessage, STATUS_CODES} from 'node:http';
import {answerFor, type ErrorKind, type Logger} from '@lovagepond/core';

import {HEAD_ERROR} from '@lovagepond/process/http_connection_limits';

/** Maps error codes of Node's HTTP parser to error kinds. */
const PARSER_ERRORS: Readonly<Record<string, ErrorKind>> = {
  HPE_HEADER_OVERFLOW: 'headersTooLarge',
  ERR_HTTP_REQUEST_TIMEOUT: 'senderTooSlow',
  [HEAD_ERROR.NO_ROOM]: 'overloaded',
};

/**
 * @param err the parser's error
 * @param log logs the reason
 * @returns the answer, after which the connection is closed; undefined if the
 *     connection is lost
 */
export function answerUnparsable(
  err: Error & {code?: string},
  log: Logger,
): string | undefined {
  const kind = PARSER_ERRORS[err.code ?? ''] ?? 'badRequest';
  log.info('request could not be parsed', {reason: err.code ?? err.message});
  if (err.code === 'ECONNRESET') return undefined;
  const {status, retryable} = answerFor(kind);
  const lines = [
    `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}`,
    'Content-Length: 0',
    'Connection: close',
    ...(retryable ? ['Retry-After: 1'] : []),
  ];
  return `${lines.join('\r\n')}\r\n\r\n`;
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
