/**
 * A caller of a gateway, with one connection for each request.
 */
import {request} from 'node:http';
import {DEFAULT_HEADER_NAMES as NAMES} from '../../gateway_headers.js';

/** API key of the workspace `nord`. */
export const KEY = 'key-of-nord';

export interface CallerResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: string;
  /** False when the connection closed before the end of the response. */
  readonly whole: boolean;
}

export interface Call {
  readonly path: string;
  readonly method?: string;
  readonly body?: string;
  readonly headers?: Readonly<Record<string, string>>;
  /** Called when the head of the response has arrived. */
  readonly onHead?: () => void;
  /** Lets the caller disconnect. */
  readonly abort?: AbortSignal;
}

/**
 * @param port the gateway's port
 * @param id id of the request, unless the call sets one
 * @param call the request
 */
export function callPort(
  port: number,
  id: string,
  {path, method = 'GET', body = '', headers = {}, onHead, abort}: Call,
): Promise<CallerResponse> {
  return new Promise((resolve, reject) => {
    const req = request(
      {
        host: '127.0.0.1',
        port,
        method,
        path,
        agent: false,
        ...(abort && {signal: abort}),
        headers: {
          host: 'shop.example',
          [NAMES.requestId]: id,
          [NAMES.apiKey]: KEY,
          ...(body && {'content-length': Buffer.byteLength(body)}),
          ...headers,
        },
      },
      res => {
        onHead?.();
        const chunks: Buffer[] = [];
        const finish = (): void => {
          resolve({
            status: res.statusCode ?? 0,
            headers: res.headers,
            body: Buffer.concat(chunks).toString(),
            whole: res.complete,
          });
        };
        res.on('data', (chunk: Buffer) => chunks.push(chunk));
        res.on('close', finish);
        res.on('error', () => {});
      },
    );
    req.on('error', reject);
    req.end(body);
  });
}
