/**
 * HTTP server of the administration API of one control member.
 */
import {createServer, type Server} from 'node:http';
import {type AddressInfo} from 'node:net';
import {App, type Request, type Response} from '@tinyhttp/app';
import {type ControlAdministration} from '@lovagepond/control';
import {invariant, type Logger} from '@lovagepond/core';
import {type AdministrationCall, parseRevision} from './operator_calls.js';
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

/** Serves the administration API of one control member. */
export class AdministrationServer {
  readonly #administration: ControlAdministration;
  readonly #settings: OperatorSettings;
  readonly #log: Logger;
  readonly #server: Server;

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
      noMatchHandler: (_req, res) => {
        sendReply(res, replyWithError('notFound'));
      },
      onError: (err, _req, res) => {
        this.#answerFault(err, res);
      },
    });
    for (const route of ROUTES) {
      app[route.method](route.path, async (req, res) => {
        await this.#serve(route, req, res);
      });
    }
    this.#server = createServer(
      {requestTimeout: settings.requestTimeoutMs},
      app.attach as never,
    );
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
   * Accepts no new connections; resolves when all running calls are answered.
   */
  async stop(): Promise<void> {
    const closed = new Promise<void>(resolve => {
      this.#server.close(() => {
        resolve();
      });
    });
    this.#server.closeIdleConnections();
    await closed;
  }

  async #serve(
    route: AdministrationRoute,
    req: Request,
    res: Response,
  ): Promise<void> {
    try {
      sendReply(res, await this.#answer(route, req));
    } catch (err) {
      this.#answerFault(err, res);
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
    const body = await readJsonBody(req, maxBodyBytes);
    if (!body.ok) return body.reply;
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

  #answerFault(err: unknown, res: Response): void {
    const message = err instanceof Error ? err.message : String(err);
    this.#log.error('an administration call failed', {message});
    sendReply(res, replyWithError('internal'));
  }
}
