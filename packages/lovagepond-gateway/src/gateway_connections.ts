/**
 * Connections to backend servers: one request at a time on each, and the one
 * used last is used first, so that as few as possible are opened.
 */
import {type Socket} from 'node:net';
import {type Client} from 'undici';
import {buildConnector, HttpClient} from './http_client.js';

/** Settings of {@link GatewayConnections}. */
export interface ConnectionSettings {
  readonly connectTimeoutMs: number;
  /** Largest head of an answer, bytes. */
  readonly maxHeadBytes: number;
}

/**
 * Idle time after which the operating system asks whether the other end is
 * still there: something between the two may have lost track of a connection,
 * and a request on it would wait for an answer that can't come.
 */
const KEEP_ALIVE_PROBE_MS = 1_000;

/** Used when a server doesn't say how long it keeps an idle connection, ms. */
const DEFAULT_IDLE_MS = 60_000;

/** A server's stated idle time is used up to so long before it ends, ms. */
const IDLE_MARGIN_MS = 1_000;

/** Where a connection leads. */
export interface ConnectionTarget {
  /** Names one life of the server: its successor is another one. */
  readonly name: string;
  /** `host:port` of the server. */
  readonly address: string;
}

/** One connection, with the server that it leads to. */
export interface ServerConnection {
  readonly server: string;
  readonly client: Client;
  /** It ended by an error, not by the server's closing it. */
  wasReset: boolean;
}

/**
 * Notes when a server resets its connection. A reset that comes together with
 * the bytes before it is told as an orderly end; only the operating system
 * still knows, as a reset socket has no peer any more. Node keeps a peer's
 * address once it was read, so it must not be read earlier.
 */
function watchForReset(socket: Socket, connection: ServerConnection): void {
  socket.on('error', () => {
    connection.wasReset = true;
  });
  socket.on('end', () => {
    if (socket.remoteAddress === undefined) connection.wasReset = true;
  });
}

/** All connections of this router. */
export class GatewayConnections {
  readonly #settings: ConnectionSettings;
  readonly #idle = new Map<string, ServerConnection[]>();
  #opened = 0;

  constructor(settings: ConnectionSettings) {
    this.#settings = settings;
  }

  /** Connections made since the start. */
  get opened(): number {
    return this.#opened;
  }

  /** Connections that wait for a request. */
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
    return this.#idle.get(target.name)?.pop() ?? this.#open(target);
  }

  /** @param connection one whose request has ended with a whole answer */
  release(connection: ServerConnection): void {
    if (connection.client.destroyed || connection.client.closed) return;
    const idle = this.#idle.get(connection.server) ?? [];
    idle.push(connection);
    this.#idle.set(connection.server, idle);
  }

  /** @param connection one that must not be used again */
  discard(connection: ServerConnection): void {
    connection.client.destroy().catch(() => undefined);
  }

  /** @param servers names of the servers that are still listed */
  keepOnly(servers: ReadonlySet<string>): void {
    for (const [server, idle] of this.#idle) {
      if (servers.has(server)) continue;
      this.#idle.delete(server);
      for (const connection of idle) this.discard(connection);
    }
  }

  /** Ends all idle connections. */
  close(): void {
    this.keepOnly(new Set());
  }

  #open({name: server, address}: ConnectionTarget): ServerConnection {
    const {connectTimeoutMs, maxHeadBytes} = this.#settings;
    const connect = buildConnector({
      timeout: connectTimeoutMs,
      keepAlive: true,
      keepAliveInitialDelay: KEEP_ALIVE_PROBE_MS,
    });
    const client = new HttpClient(`http://${address}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      maxHeaderSize: maxHeadBytes,
      keepAliveTimeout: DEFAULT_IDLE_MS,
      keepAliveMaxTimeout: DEFAULT_IDLE_MS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
      connect: (options, callback) => {
        connect(options, (...result) => {
          // Before the client's own listeners, which take a reset for the end
          // of an answer that has no length.
          if (result[1]) watchForReset(result[1], connection);
          callback(...result);
        });
      },
    });
    this.#opened += 1;
    const connection = {server, client, wasReset: false};
    client.on('disconnect', () => {
      this.#removeIdle(connection);
    });
    return connection;
  }

  /** An idle connection that ended would only cost its next request time. */
  #removeIdle(connection: ServerConnection): void {
    const idle = this.#idle.get(connection.server);
    const at = idle?.indexOf(connection) ?? -1;
    if (at < 0) return;
    idle?.splice(at, 1);
    this.discard(connection);
  }
}
