/**
 * Small HTTP helpers that the fakes share.
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

/** A body larger than this ends a fake's connection. */
const MAX_BODY_BYTES = 256 * 1024 * 1024;

/** @returns routes that answer what none of them matches with 404 */
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
 * @returns its whole body; rejects when it breaks off
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
 * @returns its JSON, undefined when it is none
 */
export function parseJsonBody(bytes: Uint8Array): unknown {
  try {
    return JSON.parse(Buffer.from(bytes).toString('utf8'));
  } catch {
    return undefined;
  }
}

/**
 * @param res where to answer
 * @param status HTTP status
 * @param content what to write as JSON
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
 * A POST that is answered before it takes effect, so that the one who asked
 * has the answer when connections end.
 *
 * @param app routes to add it to
 * @param path where it is asked for
 * @param effect what it does
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

/** What the controls common to the fakes act on. */
export interface ControlledFake<Faults> {
  setFaults(faults: Faults): void;
  silence(): void;
  dump(): unknown;
}

/**
 * Adds the controls that every fake has: its faults, silence and state.
 *
 * @param app routes to add them to
 * @param fake what they act on
 * @param schema of its faults; others are answered with 400
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

/** A server that can be silenced. */
export class FakeListener {
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  readonly #silent = new WeakSet<Socket>();

  /** @param app the routes to serve */
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
   * @param port 0 takes a free one
   * @param host address to bind
   */
  listen(port: number, host: string): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, host, resolve);
    });
  }

  /**
   * Makes all open connections silent for good: requests on them are lost,
   * nothing is written to them, and none is closed. New ones work.
   */
  silence(): void {
    for (const socket of this.#sockets) {
      this.#silent.add(socket);
      socket.setTimeout(0);
      socket.write = () => true;
    }
  }

  /** Cuts all open connections. */
  cutAll(): void {
    for (const socket of this.#sockets) socket.destroy();
  }

  /** Closes the port and cuts all connections. */
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
