/**
 * HTTP helpers shared by the fakes.
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import {type AddressInfo, type Socket} from 'node:net';
import {App, type Request, type Response} from '@tinyhttp/app';
import {type z} from '@lovagepond/core';
import {FAKE_PATH} from './backend_fake_faults.js';

/** Maximum size of a request body; a larger one closes the connection. */
const MAX_BODY_BYTES = 256 * 1024 * 1024;

/** @returns an app without routes that answers unmatched requests with 404 */
export function makeFakeRoutes(): App {
  return new App({
    settings: {xPoweredBy: false},
    applyExtensions: (_req, _res, next) => {
      next();
    },
    noMatchHandler: (_req, res) => {
      sendJson(res, 404, {error: {message: 'not found'}});
    },
    onError: (_err, _req, res) => {
      if (res.headersSent) res.destroy();
      else sendJson(res, 500, {error: {message: 'internal'}});
    },
  });
}

/**
 * @param req a request
 * @returns its complete body; rejects when the request is aborted
 */
export async function readAll(req: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of req) {
    chunks.push(chunk as Buffer);
    length += (chunk as Buffer).length;
    if (length > MAX_BODY_BYTES) req.destroy();
  }
  return Buffer.concat(chunks, length);
}

/**
 * @param bytes a body
 * @returns the parsed JSON, or undefined when it is not valid JSON
 */
export function parseJsonBody(bytes: Uint8Array): unknown {
  try {
    return JSON.parse(Buffer.from(bytes).toString('utf8'));
  } catch {
    return undefined;
  }
}

/**
 * @param res the response to write to
 * @param status HTTP status
 * @param content value to send as JSON
 */
export function sendJson(
  res: ServerResponse,
  status: number,
  content: unknown,
): void {
  if (res.destroyed) return;
  const body = Buffer.from(JSON.stringify(content));
  const length = String(body.length);
  res.writeHead(status, {
    'content-type': 'application/json',
    'content-length': length,
  });
  res.end(body);
}

/**
 * Adds a POST route that is answered before it takes effect, so that the client
 * gets the answer even if the effect closes connections.
 *
 * @param app app to add the route to
 * @param path path of the route
 * @param effect called after the answer was sent
 */
export function addDelayedControl(
  app: App,
  path: string,
  effect: () => void,
): void {
  app.post(path, (_req, res) => {
    sendJson(res, 200, {ok: true});
    res.on('finish', effect);
  });
}

/** The methods of a fake that the common control routes use. */
export interface ControlledFake<Faults> {
  setFaults(faults: Faults): void;
  silence(): void;
  dump(): unknown;
}

/**
 * Adds the control routes that all fakes have: faults, silence and state.
 *
 * @param app app to add the routes to
 * @param fake the fake to control
 * @param schema schema of its faults; invalid ones are answered with 400
 */
export function addFakeControls<Faults>(
  app: App,
  fake: ControlledFake<Faults>,
  schema: z.ZodType<Faults>,
): void {
  app.post(FAKE_PATH.FAULTS, async (req, res) => {
    const parsed = schema.safeParse(parseJsonBody(await readAll(req)));
    if (parsed.success) fake.setFaults(parsed.data);
    sendJson(res, parsed.success ? 200 : 400, {ok: parsed.success});
  });
  addDelayedControl(app, FAKE_PATH.SILENCE, () => {
    fake.silence();
  });
  app.get(FAKE_PATH.STATE, (_req, res) => {
    sendJson(res, 200, fake.dump());
  });
}

/** An HTTP server whose open connections can be made unresponsive. */
export class FakeListener {
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  readonly #silent = new WeakSet<Socket>();

  /** @param app app that handles the requests */
  constructor(app: App) {
    this.#server = createServer((req, res) => {
      if (this.#silent.has(req.socket)) return;
      app.handler(req as Request, res as Response);
    });
    this.#server.on('connection', socket => {
      this.#sockets.add(socket);
      socket.on('error', () => {});
      socket.on('close', () => this.#sockets.delete(socket));
    });
  }

  /** The port in use. */
  get port(): number {
    return (this.#server.address() as AddressInfo | null)?.port ?? 0;
  }

  /**
   * @param port 0 selects a free port
   * @param host address to bind
   */
  listen(port: number, host: string): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, host, resolve);
    });
  }

  /**
   * Makes all open connections unresponsive forever: requests on them are lost,
   * nothing is written to them, and none is closed. New ones work.
   */
  silence(): void {
    for (const socket of this.#sockets) {
      this.#silent.add(socket);
      socket.setTimeout(0);
      socket.write = () => true;
    }
  }

  /** Closes all open connections abruptly. */
  cutAll(): void {
    for (const socket of this.#sockets) socket.destroy();
  }

  /** Stops listening and closes all connections abruptly. */
  close(): Promise<void> {
    const closed = new Promise<void>(resolve => {
      this.#server.close(() => {
        resolve();
      });
    });
    this.cutAll();
    return closed;
  }
}
