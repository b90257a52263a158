/**
 * Connection pool for backend servers. Each connection carries one request at a
 * time, and the most recently used one is reused first, which keeps the number
 * of open connections low.
 */
import {type Socket} from 'node:net';
import {type Client} from 'undici';
import {buildConnector, HttpClient} from './http_client.js';

export interface ConnectionSettings {
  readonly connectTimeoutMs: number;
  /** Open connections above which idle ones are closed for new ones. */
  readonly maxConnections: number;
}

/**
 * Idle time after which the operating system sends TCP keep-alive probes,
 * milliseconds. A device on the path may have dropped the connection's state,
 * and a request sent on it would never get a response.
 */
const KEEP_ALIVE_PROBE_MS = 1_000;

/** Largest head of a server's response, bytes. */
const MAX_RESPONSE_HEAD_BYTES = 64 * 1024;

/** Idle timeout for servers that do not announce one, milliseconds. */
const DEFAULT_IDLE_MS = 60_000;

/** Subtracted from the idle timeout that a server announces, milliseconds. */
const IDLE_MARGIN_MS = 1_000;

/** The server that a connection is opened to. */
export interface ConnectionTarget {
  /** Identifies one run of the server; a restarted server has another name. */
  readonly name: string;
  /** `host:port` of the server. */
  readonly address: string;
}

/** One pooled connection. */
export interface ServerConnection {
  /** Name of the server. */
  readonly server: string;
  readonly client: Client;
  /** True if the connection ended with a reset or another error. */
  wasReset: boolean;
}

/**
 * Detects that a server reset the connection. Node reports a reset that arrives
 * together with the preceding bytes as an orderly end. The operating system
 * still shows the difference: a reset socket has no peer address. Node caches
 * the address once it was read, so it must not be read earlier.
 */
function watchForReset(socket: Socket, connection: ServerConnection): void {
  socket.on('error', () => {
    connection.wasReset = true;
  });
  socket.on('end', () => {
    if (socket.remoteAddress === undefined) connection.wasReset = true;
  });
}

export class GatewayConnections {
  readonly #settings: ConnectionSettings;
  readonly #idle = new Map<string, ServerConnection[]>();
  readonly #open = new Set<ServerConnection>();
  #opened = 0;

  constructor(settings: ConnectionSettings) {
    this.#settings = settings;
  }

  /** Connections opened since the start. */
  get opened(): number {
    return this.#opened;
  }

  /** Idle connections in the pool. */
  get idle(): number {
    let count = 0;
    for (const connections of this.#idle.values()) count += connections.length;
    return count;
  }

  /**
   * @param target a server
   * @returns an idle connection, or one that opens with its first request
   */
  acquire(target: ConnectionTarget): ServerConnection {
    const idle = this.#idle.get(target.name)?.pop();
    if (idle) return idle;
    if (this.#open.size >= this.#settings.maxConnections) this.#discardIdle();
    return this.#connect(target);
  }

  /** @param connection one whose last response was complete */
  release(connection: ServerConnection): void {
    if (connection.client.destroyed || connection.client.closed) {
      this.#open.delete(connection);
      return;
    }
    const idle = this.#idle.get(connection.server) ?? [];
    idle.push(connection);
    this.#idle.set(connection.server, idle);
  }

  /** @param connection one that must not be reused */
  discard(connection: ServerConnection): void {
    this.#open.delete(connection);
    connection.client.destroy().catch(() => undefined);
  }

  /**
   * Closes the idle connections to all other servers.
   *
   * @param servers names of the servers that control lists
   */
  keepOnly(servers: ReadonlySet<string>): void {
    for (const [server, idle] of this.#idle) {
      if (servers.has(server)) continue;
      this.#idle.delete(server);
      for (const connection of idle) this.discard(connection);
    }
  }

  /** Closes all idle connections. */
  close(): void {
    this.keepOnly(new Set());
  }

  /** Closes an idle connection, if there is one. */
  #discardIdle(): void {
    for (const idle of this.#idle.values()) {
      const connection = idle.shift();
      if (!connection) continue;
      this.discard(connection);
      return;
    }
  }

  #connect({name: server, address}: ConnectionTarget): ServerConnection {
    const {connectTimeoutMs} = this.#settings;
    const connect = buildConnector({
      timeout: connectTimeoutMs,
      keepAlive: true,
      keepAliveInitialDelay: KEEP_ALIVE_PROBE_MS,
    });
    const client = new HttpClient(`http://${address}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      maxHeaderSize: MAX_RESPONSE_HEAD_BYTES,
      keepAliveTimeout: DEFAULT_IDLE_MS,
      keepAliveMaxTimeout: DEFAULT_IDLE_MS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
      connect: (options, callback) => {
        connect(options, (...result) => {
          // Must run before undici's listeners, which take a reset for the end
          // of a response without a length.
          if (result[1]) watchForReset(result[1], connection);
          callback(...result);
        });
      },
    });
    this.#opened += 1;
    const connection = {server, client, wasReset: false};
    this.#open.add(connection);
    client.on('disconnect', () => {
      this.#removeIdle(connection);
    });
    return connection;
  }

  /** Removes a closed idle connection, which would delay its next request. */
  #removeIdle(connection: ServerConnection): void {
    const idle = this.#idle.get(connection.server);
    const at = idle?.indexOf(connection) ?? -1;
    if (at < 0) return;
    idle?.splice(at, 1);
    this.discard(connection);
  }
}
