/**
 * Keeps one gRPC connection to each sidecar and replaces silent ones.
 */
import {
  type ChannelOptions,
  Client,
  connectivityState,
  credentials,
} from '@grpc/grpc-js';
import {parseSocketAddress} from '@lovagepond/core';

/** Largest frame accepted from a sidecar, in bytes. */
const MAX_FRAME_BYTES = 4 * 1024 * 1024;

const CHANNEL_OPTIONS: ChannelOptions = {
  // With shared subchannels, a new client would reuse the silent connection.
  'grpc.use_local_subchannel_pool': 1,
  // The library must not retry an attempt that may have reached the sidecar.
  'grpc.enable_retries': 0,
  'grpc.max_receive_message_length': MAX_FRAME_BYTES,
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 1_000,
  'grpc.enable_http_proxy': 0,
};

/** A connection with a reference count of the streams that use it. */
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

  /** @returns true when calls can be sent immediately */
  isUp(): boolean {
    const state = this.client.getChannel().getConnectivityState(false);
    return state === connectivityState.READY;
  }

  /**
   * Registers a call or stream. The library throws on a call over a channel
   * that another request has just closed; uncaught, the error would end the
   * process and all of its streams.
   *
   * @returns false when the connection is closed and must not be used
   */
  hold(): boolean {
    if (this.#closed) return false;
    this.#streams += 1;
    return true;
  }

  /** Unregisters a call or stream that has ended. */
  release(): void {
    this.#streams -= 1;
    this.#closeWhenUnused();
  }

  /** Marks the connection as replaced; it closes after its last stream. */
  retire(): void {
    this.#retired = true;
    this.#closeWhenUnused();
  }

  /**
   * Waits until the connection is up. A refused connection fails immediately
   * instead of at the timeout.
   *
   * @param timeoutMs longest time to wait, in milliseconds
   * @returns false when the connection could not be established
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

  /** Closes the connection and all of its streams immediately. */
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

/** A router's connections by the address of the sidecar. */
export class SidecarConnections {
  readonly #connectTimeoutMs: number;
  readonly #byAddress = new Map<string, SidecarConnection>();

  /** @param connectTimeoutMs longest wait for a connection, in milliseconds */
  constructor(connectTimeoutMs: number) {
    this.#connectTimeoutMs = connectTimeoutMs;
  }

  /** @returns number of connections */
  get size(): number {
    return this.#byAddress.size;
  }

  /**
   * @param address a sidecar's `host:port`
   * @param silent a connection that must not be used again; when it has already
   *     been replaced, the replacement is returned
   * @returns the connection, which may still be connecting
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
   * The library throws on an empty address.
   *
   * @param address a sidecar's `host:port`
   * @param silent see {@link SidecarConnections.get}
   * @returns a connection that is up, or undefined when connecting failed
   */
  async open(
    address: string,
    silent?: SidecarConnection,
  ): Promise<SidecarConnection | undefined> {
    if (!parseSocketAddress(address)) return undefined;
    const connection = this.get(address, silent);
    if (connection.isUp()) return connection;
    const up = await connection.connect(this.#connectTimeoutMs);
    if (up) return connection;
    this.#remove(address, connection);
    return undefined;
  }

  /**
   * @param address a sidecar's `host:port`
   * @returns a new connection, or undefined when connecting failed
   */
  openFresh(address: string): Promise<SidecarConnection | undefined> {
    return this.open(address, this.#byAddress.get(address));
  }

  /** @param addresses the current sidecars; other connections are retired */
  keepOnly(addresses: ReadonlySet<string>): void {
    for (const [address, connection] of this.#byAddress) {
      if (addresses.has(address)) continue;
      this.#remove(address, connection);
    }
  }

  close(): void {
    for (const connection of this.#byAddress.values()) {
      connection.close();
    }
    this.#byAddress.clear();
  }

  #remove(address: string, connection: SidecarConnection): void {
    if (this.#byAddress.get(address) === connection) {
      this.#byAddress.delete(address);
    }
    connection.retire();
  }
}
