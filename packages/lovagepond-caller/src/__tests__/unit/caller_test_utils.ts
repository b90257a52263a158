/** Test helpers: a server with a given handler, and raw connections. */
import {connect, type Socket} from 'node:net';
import {
  type ResponseSink,
  type CallerRequest,
  CallerServer,
  type CallerSettings,
  DEFAULT_CALLER_SETTINGS,
} from '../../index.js';

export type Handle = (req: CallerRequest, sink: ResponseSink) => unknown;

const clock = {now: () => performance.now(), wallTime: () => Date.now()};
const running: CallerServer[] = [];

export async function startServer(
  handle: Handle,
  settings: Partial<CallerSettings> = {},
): Promise<CallerServer> {
  const server = new CallerServer(
    {...DEFAULT_CALLER_SETTINGS, drainGraceMs: 0, ...settings},
    {clock, handler: {handle: async (req, sink) => void handle(req, sink)}},
  );
  await server.start();
  running.push(server);
  return server;
}

export async function stopServers(): Promise<void> {
  await Promise.all(running.splice(0).map(server => server.stop()));
}

export const HEADERS = {
  'content-type': 'application/json',
  'x-lovagepond-workspace': 'shop',
  'x-lovagepond-chat': 'c1',
};

export function chatBody(extra: object = {}): string {
  return JSON.stringify({messages: [{role: 'user', content: 'hi'}], ...extra});
}

export function url(
  server: CallerServer,
  path = '/v1/chat/completions',
): string {
  return `http://127.0.0.1:${server.port}${path}`;
}

export function post(
  server: CallerServer,
  body: string,
  headers: Record<string, string> = {},
  path?: string,
): Promise<Response> {
  const all = {...HEADERS, ...headers};
  return fetch(url(server, path), {method: 'POST', headers: all, body});
}

export async function errorOf(
  res: Response,
): Promise<{kind: string; disposition: string; retryAfterMs: number}> {
  const body = (await res.json()) as {error: never};
  return body.error;
}

/** The text of a complete request, for raw connections. */
export function rawRequest(
  body: string,
  headers: Record<string, string> = {},
): string {
  const length = String(Buffer.byteLength(body));
  const all = {host: 'x', ...HEADERS, 'content-length': length, ...headers};
  const lines = Object.entries(all).map(pair => pair.join(': '));
  return `POST /v1/chat/completions HTTP/1.1\r\n${lines.join('\r\n')}\r\n\r\n${body}`;
}

/** Opens a connection, sends `text` and collects the data until its close. */
export function openRaw(
  server: CallerServer,
  text: string,
): {socket: Socket; received: Promise<string>} {
  const socket = connect(server.port, '127.0.0.1');
  socket.write(text);
  const received = new Promise<string>(resolve => {
    let all = '';
    socket.on('data', chunk => (all += chunk.toString()));
    socket.on('error', () => {});
    socket.on('close', () => {
      resolve(all);
    });
  });
  return {socket, received};
}
