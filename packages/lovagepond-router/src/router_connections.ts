/**
 * One gRPC connection to each sidecar in use, replaced when it falls silent.
 */
import {
  type ChannelOptions,
  Client,
  connectivityState,
  credentials,
} from '@grpc/grpc-js';

/** Largest frame taken from a sidecar, bytes. */
const MAX_FRAME_BYTES = 4 * 1024 * 1024;

const CHANNEL_OPTIONS: ChannelOptions = {
  // Shared subchannels would make a "fresh" connection the silent one again.
  'grpc.use_local_subchannel_pool': 1,
  // The library must not resend an attempt that may have arrived.
  'grpc.enable_retries': 0,
  'grpc.max_receive_message_length': MAX_FRAME_BYTES,
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 1_000,
  'grpc.enable_http_proxy': 0,
};

/** A connection that is up, with the streams that use it counted. */
export class SidecarConnection {
  readonly client: Client;
  #streams = 0;
  #retired = false;
  #closed = false;

  constructor(address: string) {
    this.client = new Client(
      address,
      credentials.createInsecure(),
      CHANNEL_OPTIONS,
    );
  }

  /** @returns true when calls can be sent at once */
  isUp(): boolean {
    const state = this.client.getChannel().getConnectivityState(false);
    return state === connectivityState.READY;
  }

  /**
   * A call or stream starts to use the connection. The library throws at a
   * call on a closed channel; uncaught, one request whose connection another
   * has just given up would end the process and every stream in it.
   *
   * @returns false when the connection is closed and must not be used
   */
  hold(): boolean {
    if (this.#closed) return false;
    this.#streams += 1;
    return true;
  }

  /** A stream that used the connection has ended. */
  release(): void {
    this.#streams -= 1;
    this.#closeWhenUnused();
  }

  /** No new streams; closes once the last stream has ended. */
  retire(): void {
    this.#retired = true;
    this.#closeWhenUnused();
  }

  /**
   * Waits until the connection is up. A refused connection fails at once and
   * not at the time limit.
   *
   * @param timeoutMs longest time to wait
   * @returns false when it could not be made
   */
  connect(timeoutMs: number): Promise<boolean> {
    const channel = this.client.getChannel();
    const limit = Date.now() + timeoutMs;
    return new Promise(resolve => {
      const check = (err?: Error): void => {
        const state = channel.getConnectivityState(true);
        if (state === connectivityState.READY) resolve(true);
        else if (err || isLost(state)) resolve(false);
        else channel.watchConnectivityState(state, limit, check);
      };
      check();
    });
  }

  /** Ends at once, with all streams. */
  close(): void {
    this.#closed = true;
    this.client.close();
  }

  #closeWhenUnused(): void {
    if (this.#retired && this.#streams <= 0) this.close();
  }
}

function isLost(state: connectivityState): boolean {
  return (
    state === connectivityState.TRANSIENT_FAILURE ||
    state === connectivityState.SHUTDOWN
  );
}

/** The connections of a router, by the sidecar's address. */
export class SidecarConnections {
  readonly #connectTimeoutMs: number;
  readonly #byAddress = new Map<string, SidecarConnection>();

  /** @param connectTimeoutMs longest time to wait for a connection */
  constructor(connectTimeoutMs: number) {
    this.#connectTimeoutMs = connectTimeoutMs;
  }

  /** @returns number of connections kept */
  get size(): number {
    return this.#byAddress.size;
  }

  /**
   * @param address a sidecar's `host:port`
   * @param silent a connection that must not be used again; when it has been
   *     replaced already, its successor is given
   * @returns the connection, perhaps not up yet
   */
  get(address: string, silent?: SidecarConnection): SidecarConnection {
    const known = this.#byAddress.get(address);
    if (known && known !== silent) return known;
    known?.retire();
    const made = new SidecarConnection(address);
    this.#byAddress.set(address, made);
    return made;
  }

  /**
   * @param address a sidecar's `host:port`
   * @param silent see {@link SidecarConnections.get}
   * @returns a connection that is up, or undefined when none could be made
   */
  async open(
    address: string,
    silent?: SidecarConnection,
  ): Promise<SidecarConnection | undefined> {
    const connection = this.get(address, silent);
    if (connection.isUp()) return connection;
    const up = await connection.connect(this.#connectTimeoutMs);
    if (up) return connection;
    this.#forget(address, connection);
    return undefined;
  }

  /**
   * @param address a sidecar's `host:port`
   * @returns a connection made anew, or undefined when none could be made
   */
  openFresh(address: string): Promise<SidecarConnection | undefined> {
    return this.open(address, this.#byAddress.get(address));
  }

  /** @param addresses the sidecars that still exist; others are let go */
  keepOnly(addresses: ReadonlySet<string>): void {
    for (const [address, connection] of this.#byAddress) {
      if (addresses.has(address)) continue;
      this.#forget(address, connection);
    }
  }

  /** Closes all connections. */
  close(): void {
    for (const connection of this.#byAddress.values()) {
      connection.close();
    }
    this.#byAddress.clear();
  }

  #forget(address: string, connection: SidecarConnection): void {
    if (this.#byAddress.get(address) === connection) {
      this.#byAddress.delete(address);
    }
    connection.retire();
  }
}
