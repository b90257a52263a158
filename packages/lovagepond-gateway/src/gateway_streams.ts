/**
 * The streams of all gateways, as far as one gateway has to know them.
 */
import {type ControlLink} from '@lovagepond/router/control_link';
import {type KeyHasher} from '@lovagepond/router/rendezvous_hash';
import {
  StreamDirectory,
  type StreamDirectoryCounts,
} from './gateway_stream_directory.js';
import {type StreamOrigin} from './gateway_stream_origin.js';
import {type GatewayPeerLink} from './gateway_peer_link.js';
import {StreamHistoryReader} from './gateway_stream_history_reader.js';

/** A request's stream: its workspace, and the request with the first event. */
export interface StreamName {
  /** Absent on public routes. */
  readonly workspace: string | undefined;
  readonly firstRequestId: string;
}

/** State for metrics and the state dump. */
export interface GatewayStreamsState {
  readonly records: number;
  readonly peers: number;
  readonly lookups: StreamDirectoryCounts & {
    /** Without a record, but all servers had one version. */
    readonly onlyVersion: number;
  };
}

export class GatewayStreams {
  readonly #link: GatewayPeerLink;
  readonly #directory: StreamDirectory;
  readonly #history: StreamHistoryReader;
  #onlyVersion = 0;

  /**
   * @param link reaches the other gateways
   * @param hasher hashes the names of streams
   * @param control tells which versions were in service
   */
  constructor(
    link: GatewayPeerLink,
    hasher: KeyHasher,
    control: Pick<ControlLink, 'readStreamHistory'>,
  ) {
    this.#link = link;
    this.#history = new StreamHistoryReader(() => control.readStreamHistory());
    this.#directory = new StreamDirectory({
      hasher,
      peers: link.addresses,
      send: (address, bytes) => {
        link.send(address, bytes);
      },
    });
    link.addHandler(this.#directory);
  }

  /**
   * Must be called periodically.
   *
   * @param now current time, monotonic milliseconds
   */
  expire(now: number): void {
    this.#directory.expire(now);
  }

  /**
   * Records which servers can continue a stream, here and at other gateways.
   *
   * @param stream the stream
   * @param origin the servers that can continue it
   * @param timeoutMs longest duration of one request for it
   * @param now current time, monotonic milliseconds
   */
  record(
    {workspace, firstRequestId}: StreamName,
    origin: StreamOrigin,
    timeoutMs: number,
    now: number,
  ): void {
    if (firstRequestId === '') return;
    const key = this.#directory.keyOf(workspace ?? '', firstRequestId);
    this.#directory.record(key, origin, timeoutMs, now);
  }

  /**
   * @param stream the stream
   * @param now current time, monotonic milliseconds
   * @returns the servers that can continue the stream; undefined if no gateway
   *     that answers knows them
   */
  find(
    {workspace, firstRequestId}: StreamName,
    now: number,
  ): Promise<StreamOrigin | undefined> {
    if (firstRequestId === '') return Promise.resolve(undefined);
    const key = this.#directory.keyOf(workspace ?? '', firstRequestId);
    return new Promise(resolve => {
      this.#directory.find(key, now, resolve);
      if (this.#directory.pending > 0) this.#link.startTicking();
    });
  }

  /** See {@link StreamHistoryReader.read}. */
  readHistory(): ReturnType<StreamHistoryReader['read']> {
    return this.#history.read();
  }

  /** Counts a stream that is resumed without a record. */
  noteOnlyVersion(): void {
    this.#onlyVersion += 1;
  }

  describe(): GatewayStreamsState {
    return {
      records: this.#directory.size,
      peers: this.#link.addresses.size,
      lookups: {...this.#directory.counts, onlyVersion: this.#onlyVersion},
    };
  }
}
