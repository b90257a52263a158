/**
 * HTTP server of the administration API of one control member.
 */
import {createServer, type Server} from 'node:http';
import {type AddressInfo} from 'node:net';
import {App, type Request, type Response} from '@tinyhttp/app';
import {type ControlAdministration} from '@lovagepond/control';
import {type DrainResult, invariant, type Logger} from '@lovagepond/core';
import {BodyBudget} from '@lovagepond/process/http_body_budget';
import {ResponseDelivery} from '@lovagepond/process/http_delivery';
import {
  DEFAULT_HTTP_LIMITS,
  HTTP_SERVER_OPTIONS,
} from '@lovagepond/process/http_limits';
import {
  type AdministrationCall,
  parseRevision,
  replyToAnswer,
} from './operator_calls.js';
import {CONFIGURATION_ROUTES} from './operator_configuration_routes.js';
import {FLEET_ROUTES} from './operator_fleet_routes.js';
import {
  type AdministrationReply,
  hasToken,
  readJsonBody,
  replyWithError,
  sendReply,
} from './operator_http.js';
import {type AdministrationRoute} from './operator_route.js';
import {isLoopback, type OperatorSettings} from './operator_settings.js';

const ROUTES: readonly AdministrationRoute[] = [
  ...CONFIGURATION_ROUTES,
  ...FLEET_ROUTES,
];

const OPERATION_ID = /^[A-Za-z0-9_.:-]{1,128}$/;
const OPERATION_ID_NEEDED =
  'The header Operation-Id must carry an id of up to 128 letters, digits ' +
  'and _.:- that names this change; resend a change with the same id.';

/**
 * Time before the limit of a drain at which the calls that are still open are
 * answered, milliseconds.
 */
const DELIVERY_MS = 100;

/** A call without an answer. */
interface OpenCall {
  readonly req: Request;
  readonly end: (reply: AdministrationReply) => void;
}

/** Serves the administration API of one control member. */
export class AdministrationServer {
  readonly #administration: ControlAdministration;
  readonly #settings: OperatorSettings;
  readonly #log: Logger;
  readonly #server: Server;
  readonly #delivery: ResponseDelivery;
  readonly #bodies: BodyBudget;
  readonly #calls = new Set<OpenCall>();
  #draining = false;

  /**
   * @param administration administration interface of the control member
   * @param settings address, token and limits
   * @param log logs internal errors, without bodies or tokens
   */
  constructor(
    administration: ControlAdministration,
    settings: OperatorSettings,
    log: Logger,
  ) {
    this.#administration = administration;
    this.#settings = settings;
    this.#log = log;
    const app = new App({
      settings: {networkExtensions: false, xPoweredBy: false},
      noMatchHandler: (req, res) => {
        sendReply(req, res, replyWithError('notFound'));
      },
      onError: (err, req, res) => {
        sendReply(req, res, this.#toFault(err));
      },
    });
    for (const route of ROUTES) {
      app[route.method](route.path, async (req, res) => {
        await this.#serve(route, req, res);
      });
    }
    const {requestTimeoutMs, maxConnections, maxHeldBytes} = settings;
    this.#bodies = new BodyBudget(maxHeldBytes);
    this.#server = createServer({
      ...HTTP_SERVER_OPTIONS,
      requestTimeout: requestTimeoutMs,
    });
    const limits = {...DEFAULT_HTTP_LIMITS, maxConnections};
    this.#delivery = new ResponseDelivery(this.#server, limits, log);
    this.#delivery.onRequest(app.attach as never);
  }

  /**
   * Starts to listen.
   *
   * @returns the port that the server listens on
   */
  async start(): Promise<number> {
    const {host, port} = this.#settings;
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, host, resolve);
    });
    const address = this.#server.address() as AddressInfo | null;
    invariant(address, 400, 'listening server has no address');
    this.#log.info('administration listens', {host, port: address.port});
    return address.port;
  }

  /**
   * Accepts no new calls, refuses those whose body is not complete, and waits
   * until the others are answered and the answers delivered.
   *
   * @param limitMs the maximum wait, milliseconds
   * @returns the number of answers that are not delivered
   */
  async drain(limitMs: number): Promise<DrainResult> {
    this.#draining = true;
    for (const {req, end} of this.#calls) if (!req.complete) end(replyStops());
    const endAll = (): void => {
      for (const {end} of this.#calls) end(replyToAnswer({kind: 'unknown'}));
    };
    const timer = setTimeout(endAll, Math.max(0, limitMs - DELIVERY_MS));
    const result = await this.#delivery.drain(limitMs);
    clearTimeout(timer);
    return result;
  }

  /** Closes the server and all connections without waiting for calls. */
  async stop(): Promise<void> {
    const closed = new Promise<void>(resolve => {
      this.#server.close(() => {
        resolve();
      });
    });
    this.#server.closeAllConnections();
    await closed;
  }

  async #serve(
    route: AdministrationRoute,
    req: Request,
    res: Response,
  ): Promise<void> {
    if (this.#draining) {
      sendReply(req, res, replyStops());
      return;
    }
    let end = (_reply: AdministrationReply): void => undefined;
    const ended = new Promise<AdministrationReply>(resolve => (end = resolve));
    const call = {req, end};
    this.#calls.add(call);
    try {
      sendReply(
        req,
        res,
        await Promise.race([ended, this.#answer(route, req)]),
      );
    } catch (err) {
      sendReply(req, res, this.#toFault(err));
    } finally {
      this.#calls.delete(call);
    }
  }

  async #answer(
    route: AdministrationRoute,
    req: Request,
  ): Promise<AdministrationReply> {
    const {token, host, maxBodyBytes} = this.#settings;
    const isChange = route.method !== 'get';
    const needsToken = isChange || !isLoopback(host);
    if (needsToken && !hasToken(req.headers.authorization, token)) {
      return {
        ...replyWithError('unauthorized'),
        headers: {'www-authenticate': 'Bearer', connection: 'close'},
      };
    }
    const limits = {maxBytes: maxBodyBytes, budget: this.#bodies};
    const body = await readJsonBody(req, limits);
    if (!body.ok) return body.reply;
    // A body that was not complete when the drain began was refused.
    if (this.#draining) return replyStops();
    const operationId = String(req.headers['operation-id'] ?? '');
    if (isChange && !OPERATION_ID.test(operationId)) {
      return replyWithError('badRequest', {message: OPERATION_ID_NEEDED});
    }
    return route.handle(this.#makeCall(req, body.value, operationId));
  }

  #makeCall(
    req: Request,
    body: unknown,
    operationId: string,
  ): AdministrationCall {
    return {
      administration: this.#administration,
      params: req.params as Readonly<Record<string, string>>,
      query: req.query,
      body,
      operationId,
      baseRevision: parseRevision(req.headers['if-match']),
      dryRun: req.query['dryRun'] === 'true',
    };
  }

  #toFault(err: unknown): AdministrationReply {
    const message = err instanceof Error ? err.message : String(err);
    this.#log.error('an administration call failed', {message});
    return replyWithError('internal');
  }
}

function replyStops(): AdministrationReply {
  return replyWithError('notReady', {message: 'This member is stopping.'});
}
