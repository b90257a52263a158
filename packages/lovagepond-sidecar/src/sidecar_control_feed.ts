/**
 * Subscription to control: configuration, and membership and load digest of the
 * sidecar's own pool.
 */
import {type Client, type ClientReadableStream, Metadata} from '@grpc/grpc-js';
import {
  type Clock,
  ControlAddresses,
  type Logger,
  type Random,
} from '@lovagepond/core';
import {CONTROL_SERVICE, lovagepond} from '@lovagepond/protocol';
import {connect} from './sidecar_client_pool.js';
import {type SidecarSettings} from './sidecar_settings.js';

const {v1} = lovagepond;

type ControlUpdate = lovagepond.v1.ControlUpdate;

const RETRY_MS = 200;

export interface FeedDependencies {
  readonly clock: Clock;
  readonly log: Logger;
  readonly random: Random;
  /** @returns the revision in force here */
  revision(): number;
  onUpdate(update: ControlUpdate, now: number): void;
}

/** Keeps one subscription open, to any control member that responds. */
export class SidecarControlFeed {
  readonly #settings: SidecarSettings;
  readonly #deps: FeedDependencies;
  #client: Client | undefined;
  #call: ClientReadableStream<ControlUpdate> | undefined;
  readonly #addresses: ControlAddresses;
  #lastUpdateAt = 0;
  #receivedBytes = 0;
  #retryTimer: NodeJS.Timeout | undefined;
  #stopped = false;

  constructor(settings: SidecarSettings, deps: FeedDependencies) {
    this.#settings = settings;
    this.#deps = deps;
    const {controlAddresses} = settings;
    this.#addresses = new ControlAddresses(controlAddresses, deps.random);
  }

  /** @returns number of bytes received since the start */
  get receivedBytes(): number {
    return this.#receivedBytes;
  }

  /** Opens the subscription. */
  start(): void {
    const {backendServer, pool, region} = this.#settings;
    const address = this.#addresses.current;
    if (this.#stopped || address === '') return;
    this.#lastUpdateAt = this.#deps.clock.now();
    this.#client = connect(address);
    const method = CONTROL_SERVICE.subscribe;
    const call = this.#client.makeServerStreamRequest(
      method.path,
      method.requestSerialize,
      bytes => {
        this.#receivedBytes += bytes.length;
        return method.responseDeserialize(bytes);
      },
      new v1.SubscribeRequest({
        node: backendServer,
        role: 'sidecar',
        revision: this.#deps.revision(),
        region,
        pool,
      }),
      new Metadata(),
      {},
    );
    this.#call = call;
    this.#listen(call, address);
  }

  /**
   * Restarts a subscription without updates; called a few times a second.
   *
   * @param now current time
   */
  tick(now: number): void {
    if (!this.#call) return;
    const silentMs = now - this.#lastUpdateAt;
    if (silentMs <= this.#settings.controlSilentAfterMs) return;
    this.#restart('silent');
  }

  /** Ends the subscription. */
  stop(): void {
    this.#stopped = true;
    clearTimeout(this.#retryTimer);
    this.#close();
  }

  #listen(call: ClientReadableStream<ControlUpdate>, address: string): void {
    call.on('data', (update: ControlUpdate) => {
      if (this.#call !== call) return;
      this.#lastUpdateAt = this.#deps.clock.now();
      this.#addresses.noteContact();
      const {addresses} = update.controlMembers ?? {};
      if (addresses) this.#addresses.setDiscovered(addresses);
      this.#deps.onUpdate(update, this.#lastUpdateAt);
    });
    const onLost = (err?: Error): void => {
      if (this.#call !== call) return;
      this.#deps.log.info('subscription lost', {address, err: err?.message});
      this.#restart(err?.message ?? 'ended');
    };
    call.on('error', onLost);
    call.on('end', onLost);
  }

  /** Randomizes the delay so that sidecars don't reconnect simultaneously. */
  #restart(reason: string): void {
    this.#deps.log.debug('subscribing to another control member', {reason});
    this.#close();
    this.#addresses.selectNext();
    const pauseMs = RETRY_MS * (0.5 + this.#deps.random.next());
    this.#retryTimer = setTimeout(() => {
      this.start();
    }, pauseMs);
  }

  #close(): void {
    const call = this.#call;
    this.#call = undefined;
    // A cancelled call reports an error, which is ignored here.
    call?.on('error', () => {});
    call?.cancel();
    this.#client?.close();
    this.#client = undefined;
  }
}
