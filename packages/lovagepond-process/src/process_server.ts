/**
 * HTTP endpoints for the platform: liveness, readiness for its load balancer,
 * metrics, and the state dump.
 */
import {createServer, type Server} from 'node:http';
import {type AddressInfo} from 'node:net';
import {App} from '@tinyhttp/app';
import {limitRest, ResponseDelivery} from './http_delivery.js';
import {DEFAULT_HTTP_LIMITS, HTTP_SERVER_OPTIONS} from './http_limits.js';
import {type MetricsRegistry} from './metrics_registry.js';
import {type HostPort} from './settings_units.js';

/** Time that readers have for responses under way at the stop, milliseconds. */
const DELIVERY_LIMIT_MS = 200;

/** State dumps are large, and each connection may have some unread. */
const LIMITS = {...DEFAULT_HTTP_LIMITS, maxConnections: 100};

const STATUS_OK = 200;
const STATUS_UNAVAILABLE = 503;

/** Provides the data that the server reports. */
export interface PlatformView {
  /** True while the load balancer may send requests. */
  isReady(): boolean;
  /** The state dump as JSON, bounded and without secrets. */
  renderDump(): string;
  readonly metrics: MetricsRegistry;
}

/** Serves `/healthz`, `/readyz`, `/metrics` and `/dump`. */
export class PlatformServer {
  readonly #address: HostPort;
  readonly #server: Server;
  readonly #delivery: ResponseDelivery;
  readonly #deliveryLimitMs: number;

  /**
   * @param address address to listen on; loopback unless configured otherwise
   * @param view provides the reported data
   * @param deliveryLimitMs how long `stop` waits for responses, milliseconds
   */
  constructor(
    address: HostPort,
    view: PlatformView,
    deliveryLimitMs = DELIVERY_LIMIT_MS,
  ) {
    this.#address = address;
    this.#deliveryLimitMs = deliveryLimitMs;
    const app = makeApp(view);
    this.#server = createServer(HTTP_SERVER_OPTIONS);
    this.#delivery = new ResponseDelivery(this.#server, LIMITS);
    this.#delivery.onRequest((req, res) => {
      void app.handler(req as never, res as never);
      limitRest(req);
    });
  }

  /**
   * @returns the bound address
   * @throws when the address can't be bound
   */
  async start(): Promise<HostPort> {
    const {host, port} = this.#address;
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, host, resolve);
    });
    return {host, port: (this.#server.address() as AddressInfo).port};
  }

  /** Closes the listening socket, and all connections after a short time. */
  async stop(): Promise<void> {
    await this.#delivery.drain(this.#deliveryLimitMs);
    this.#server.closeAllConnections();
    await new Promise<void>(resolve => {
      this.#server.close(() => {
        resolve();
      });
    });
  }
}

function makeApp(view: PlatformView): App {
  const app = new App({settings: {xPoweredBy: false}});
  app.get('/healthz', (_req, res) => {
    res.status(STATUS_OK).send('ok\n');
  });
  app.get('/readyz', (_req, res) => {
    const ready = view.isReady();
    res.status(ready ? STATUS_OK : STATUS_UNAVAILABLE);
    res.send(ready ? 'ready\n' : 'not ready\n');
  });
  app.get('/metrics', async (_req, res) => {
    const {contentType, text} = await view.metrics.render();
    res.setHeader('content-type', contentType);
    res.end(text);
  });
  app.get('/dump', (_req, res) => {
    res.setHeader('content-type', 'application/json');
    res.end(view.renderDump());
  });
  return app;
}
