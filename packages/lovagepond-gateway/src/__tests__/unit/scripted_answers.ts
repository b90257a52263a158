/**
 * Answers of scripted backend servers.
 */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {DEFAULT_HEADER_NAMES} from '../../gateway_headers.js';

export const NAMES = DEFAULT_HEADER_NAMES;

/** Handles one request at a scripted server. */
export type Script = (
  req: IncomingMessage,
  res: ServerResponse,
  body: string,
) => void;

/** Responds like a healthy server. */
export function answer(
  req: IncomingMessage,
  res: ServerResponse,
  status: number,
  body: string,
): void {
  res.writeHead(status, {
    [NAMES.requestId]: req.headers[NAMES.requestId] ?? '',
    [NAMES.signature]: 'signed',
    'Content-Length': Buffer.byteLength(body),
  });
  res.end(body);
}

/** Rejects the request as not run. */
export function refuse(req: IncomingMessage, res: ServerResponse): void {
  res.writeHead(503, {
    [NAMES.requestId]: req.headers[NAMES.requestId] ?? '',
    [NAMES.notRun]: '1',
    'Content-Length': 0,
  });
  res.end();
}

/** Begins an event stream. */
export function beginStream(req: IncomingMessage, res: ServerResponse): void {
  res.writeHead(200, {
    [NAMES.requestId]: req.headers[NAMES.requestId] ?? '',
    [NAMES.signature]: 'signed',
    'Content-Type': 'text/event-stream',
  });
}
