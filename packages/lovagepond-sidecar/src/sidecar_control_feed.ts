/**
 * What control pushes to a sidecar: configuration, its own pool's membership
 * and load digest.
 */
import {type Client, type ClientReadableStream, Metadata} from '@grpc/grpc-js';
import {
  type Clock,
  ControlAddresses,
  type Logger,
  type Random,
} from '@lovagepond/core';
import {CONTROL_SERVICE, lovagepond} from '@lovagepond/protocol';
import {connect} from './sidecar_calls.js';
import {type SidecarSettings} from './sidecar_settings.js';

const {v1} = lovagepond;

type ControlUpdate = lovagepond.v1.ControlUpdate;

const RETRY_MS = 200;

/** What the feed needs besides its settings. */
export interface FeedParts {
  readonly clock: Clock;
  readonly log: Logger;
  readonly random: Random;
  /** @returns the revision in force here */
  heldRevision(): number;
  onUpdate(update: ControlUpdate, now: number): void;
}

/** Keeps one subscription open, at any member that answers. */
export class SidecarControlFeed {
  readonly #settings: SidecarSettings;
  readonly #parts: FeedParts;
  #client: Client | undefined;
  #call: ClientReadableStream<ControlUpdate> | undefined;
  readonly #addresses: ControlAddresses;
  #heardAt = 0;
  #receivedBytes = 0;
  #retryTimer: NodeJS.Timeout | undefined;
  #stopped = false;

  constructor(settings: SidecarSettings, parts: FeedParts) {
    this.#settings = settings;
    this.#parts = parts;
    const {controlAddresses} = settings;
    this.#addresses = new ControlAddresses(controlAddresses, parts.random);
  }

  /** @returns bytes received since the start */
  get receivedBytes(): number {
    return this.#receivedBytes;
  }

  /** Opens the subscription. */
  start(): void {
    const {backendServer, pool, region} = this.#settings;
    const address = this.#addresses.current;
    if (this.#stopped || address === '') return;
    this.#heardAt = this.#parts.clock.now();
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
        revision: this.#parts.heldRevision(),
        region,
        pool,
      }),
      new Metadata(),
      {},
    );
    this.#call = call;
    this.#listen(call, address);
  }

  /** @param now present time; call it a few times a second */
  tick(now: number): void {
    if (!this.#call) return;
    const silentMs = now - this.#heardAt;
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
      this.#heardAt = this.#parts.clock.now();
      this.#addresses.noteContact();
      const {addresses} = update.controlMembers ?? {};
      if (addresses) this.#addresses.setDiscovered(addresses);
      this.#parts.onUpdate(update, this.#heardAt);
    });
    const onLost = (err?: Error): void => {
      if (this.#call !== call) return;
      this.#parts.log.info('subscription lost', {address, err: err?.message});
      this.#restart(err?.message ?? 'ended');
    };
    call.on('error', onLost);
    call.on('end', onLost);
  }

  /** The pause differs between sidecars, or all would come back at once. */
  #restart(reason: string): void {
    this.#parts.log.debug('subscribing at another member', {reason});
    this.#close();
    this.#addresses.selectNext();
    const pauseMs = RETRY_MS * (0.5 + this.#parts.random.next());
    this.#retryTimer = setTimeout(() => {
      this.start();
    }, pauseMs);
  }

  #close(): void {
    const call = this.#call;
    this.#call = undefined;
    // A cancelled call reports an error; nobody waits for it.
    call?.on('error', () => {});
    call?.cancel();
    this.#client?.close();
    this.#client = undefined;
  }
}
