/**
 * Keeps a node subscribed to a member of the control plane that is in contact
 * with the leader.
 */
import {
  type ChannelOptions,
  Client,
  type ClientReadableStream,
  credentials,
  Metadata,
  type MethodDefinition,
} from '@grpc/grpc-js';
import {
  type Clock,
  ControlAddresses,
  type Logger,
  type Random,
} from '@lovagepond/core';
import {CONTROL_SERVICE, lovagepond} from '@lovagepond/protocol';

import {ControlFreshness} from './router_control_freshness.js';
import {type CrashReport} from './router_quarantine.js';

const {v1} = lovagepond;

/** A decoded update from the control plane. */
export type ControlUpdate = lovagepond.v1.ControlUpdate.$Properties;

/** What a subscriber reports about itself when it subscribes. */
export interface SubscriberFacts {
  readonly node: string;
  readonly region: string;
  /** The configuration may be sent as a delta against the subscriber's. */
  readonly takesDeltas: boolean;
}

/** Settings of {@link ControlLink}; see the router's settings. */
export interface ControlLinkSettings {
  readonly controlAddresses: readonly string[];
  readonly controlSilentAfterMs: number;
  readonly controlRetryMs: number;
}

/** Receives the control plane's updates. */
export interface ControlListener {
  /** @returns the current revision, which the next subscription reports */
  heldRevision(): number;
  onUpdate(update: ControlUpdate, now: number): void;
}

export interface ControlLinkDependencies {
  readonly clock: Clock;
  readonly log: Logger;
  readonly random: Random;
  readonly listener: ControlListener;
}

const ROLE = 'router';

const MAX_BACKOFF_DOUBLINGS = 2;

/** The control plane drops a node after some minutes without a report. */
const REPORT_INTERVAL_MS = 60_000;

const REPORT_TIMEOUT_MS = 1_000;

/**
 * Timeout for connecting to a member, in milliseconds. The first packet to a
 * host without power is lost, and the system retransmits it only after a
 * second. A gateway that waited for this would get its first update long after
 * gateways that started later. The timeout can't be much shorter: a round trip
 * between regions takes a tenth of a second, and the processes at both ends may
 * have just started.
 */
const CONNECT_TIMEOUT_MS = 300;

/** Disables the library's diagnostics and retries: they are unused overhead. */
const CHANNEL_OPTIONS: ChannelOptions = {
  'grpc.use_local_subchannel_pool': 1,
  'grpc.enable_http_proxy': 0,
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 1_000,
  'grpc.enable_channelz': 0,
  'grpc.enable_retries': 0,
  'grpc.service_config_disable_resolution': 1,
};

/**
 * Subscribes to a member, and switches to the next one when it goes silent or has
 * lost the leader for too long.
 */
export class ControlLink {
  readonly #settings: ControlLinkSettings;
  readonly #facts: SubscriberFacts;
  readonly #deps: ControlLinkDependencies;
  readonly #addresses: ControlAddresses;
  #client: Client | undefined;
  #call: ClientReadableStream<ControlUpdate> | undefined;
  #freshness = new ControlFreshness(0);
  /** The current subscription has delivered an update. */
  #hasReceivedUpdate = false;
  #failures = 0;
  #retryTimer: NodeJS.Timeout | undefined;
  #stopped = false;
  #receivedBytes = 0;
  #sentBytes = 0;
  #reportedAt = 0;

  constructor(
    settings: ControlLinkSettings,
    facts: SubscriberFacts,
    deps: ControlLinkDependencies,
  ) {
    this.#settings = settings;
    this.#facts = facts;
    this.#deps = deps;
    const {controlAddresses} = settings;
    this.#addresses = new ControlAddresses(controlAddresses, deps.random);
  }

  /** @returns bytes of updates received since the start */
  get receivedBytes(): number {
    return this.#receivedBytes;
  }

  /** @returns bytes of reports and subscriptions sent since the start */
  get sentBytes(): number {
    return this.#sentBytes;
  }

  /** @returns `host:port` of the current or last member */
  get address(): string {
    return this.#addresses.current;
  }

  /** Opens the first subscription. */
  start(): void {
    this.#subscribe();
  }

  /** @param now current time, monotonic ms; to be called every few 100 ms */
  tick(now: number): void {
    if (!this.#call) return;
    const ageMs = this.#freshness.ageMs(now);
    if (ageMs > this.#settings.controlSilentAfterMs) this.#onLost('stale');
    if (now - this.#reportedAt < REPORT_INTERVAL_MS) return;
    this.reportRevision(this.#deps.listener.heldRevision());
  }

  /**
   * Reports which revision this node applies, so that operators see when a
   * change has reached all nodes. The next report makes up for a lost one.
   *
   * @param revision the current revision
   */
  reportRevision(revision: number): void {
    void this.confirmRevision(revision);
  }

  /**
   * Reports the current revision and asks for the newest one.
   *
   * @param revision the current revision
   * @param atOnce true when this node can't decide on requests before the
   *     response
   * @returns the newest revision, confirmed by a majority after the call;
   *     undefined when there was no such response
   */
  async confirmRevision(
    revision: number,
    atOnce = false,
  ): Promise<number | undefined> {
    this.#reportedAt = this.#deps.clock.now();
    const {node} = this.#facts;
    const report = {node, role: ROLE, revision, atOnce};
    const res = await this.#callControl(
      CONTROL_SERVICE.reportConvergence,
      new v1.ConvergenceReport(report),
    );
    return res?.confirmed ? (res.revision ?? 0) : undefined;
  }

  /**
   * Reports this node's prompt prefills and running requests, by server, its
   * demand in congested pools, and where it keeps records of streams. A lost
   * report isn't sent again, as it only causes some repeated prefill.
   *
   * @param report what changed since the last report
   */
  reportReadings(
    report: Pick<
      lovagepond.v1.ReadingReport.$Properties,
      'readings' | 'running' | 'demand' | 'streamAddress' | 'requests'
    >,
  ): void {
    const method = CONTROL_SERVICE.reportReadings;
    const {node} = this.#facts;
    this.#client?.makeUnaryRequest(
      method.path,
      message => this.#countSent(method.requestSerialize(message)),
      method.responseDeserialize,
      new v1.ReadingReport({...report, node}),
      new Metadata(),
      {deadline: Date.now() + REPORT_TIMEOUT_MS},
      err => {
        if (!err) return;
        this.#deps.log.debug('failed to report readings to the control plane', {
          reason: err.message,
        });
      },
    );
  }

  /**
   * Reports crashed servers to the control plane.
   *
   * @param report what the control plane has not recorded yet
   * @returns false when the report must be sent again
   */
  async reportCrashes(report: CrashReport): Promise<boolean> {
    const {node} = this.#facts;
    const res = await this.#callControl(
      CONTROL_SERVICE.reportCrashes,
      new v1.CrashReport({...report, node}),
    );
    return res?.recorded ?? false;
  }

  /**
   * Asks for retries.
   *
   * @param question what is wanted, and the requests that back it
   * @returns the answer; undefined when there was none in time
   */
  async requestRetries(
    question: Omit<lovagepond.v1.RetryRequest.$Properties, 'node'>,
  ): Promise<lovagepond.v1.RetryResponse | undefined> {
    const {node} = this.#facts;
    const res = await this.#callControl(
      CONTROL_SERVICE.requestRetries,
      new v1.RetryRequest({...question, node}),
    );
    return res && new v1.RetryResponse(res);
  }

  /**
   * Asks which servers can have begun a stream.
   *
   * @returns what was in service lately, confirmed by a majority after the call;
   *     undefined when there was no such response
   */
  async readStreamHistory(): Promise<
    lovagepond.v1.StreamHistoryResponse | undefined
  > {
    const {node} = this.#facts;
    const res = await this.#callControl(
      CONTROL_SERVICE.readStreamHistory,
      new v1.StreamHistoryRequest({node}),
    );
    return res?.confirmed ? new v1.StreamHistoryResponse(res) : undefined;
  }

  /** Subscribes again and reports the current revision. */
  restart(reason: string): void {
    if (this.#call) this.#onLost(reason);
  }

  /** Ends the subscription. */
  stop(): void {
    this.#stopped = true;
    clearTimeout(this.#retryTimer);
    this.#close();
  }

  /** @returns the member's response; undefined when there was none in time */
  #callControl<Req, Res>(
    method: MethodDefinition<Req, Res>,
    message: Req,
  ): Promise<Res | undefined> {
    const client = this.#client;
    if (!client) return Promise.resolve(undefined);
    return new Promise(resolve => {
      client.makeUnaryRequest(
        method.path,
        (req: Req) => this.#countSent(method.requestSerialize(req)),
        method.responseDeserialize,
        message,
        new Metadata(),
        {deadline: Date.now() + REPORT_TIMEOUT_MS},
        (err, res) => {
          resolve(err ? undefined : res);
        },
      );
    });
  }

  #subscribe(): void {
    if (this.#stopped || this.address === '') return;
    this.#freshness = new ControlFreshness(this.#deps.clock.now());
    this.#hasReceivedUpdate = false;
    this.#client = new Client(
      this.address,
      credentials.createInsecure(),
      CHANNEL_OPTIONS,
    );
    const method = CONTROL_SERVICE.subscribe;
    const call = this.#client.makeServerStreamRequest(
      method.path,
      message => this.#countSent(method.requestSerialize(message)),
      bytes => {
        this.#receivedBytes += bytes.length;
        return method.responseDeserialize(bytes);
      },
      new v1.SubscribeRequest({
        ...this.#facts,
        role: ROLE,
        revision: this.#deps.listener.heldRevision(),
      }),
      new Metadata(),
      {},
    );
    this.#call = call;
    this.#handleUpdates(call);
    this.#watchConnection(this.#client, call);
  }

  #watchConnection(
    client: Client,
    call: ClientReadableStream<ControlUpdate>,
  ): void {
    client.waitForReady(Date.now() + CONNECT_TIMEOUT_MS, err => {
      if (err && this.#call === call) this.#onLost('no connection');
    });
  }

  #noteFirstUpdate(): void {
    this.#hasReceivedUpdate = true;
    this.#addresses.noteContact();
    this.#deps.log.info('control subscription holds', {
      address: this.address,
    });
  }

  #countSent(bytes: Buffer): Buffer {
    this.#sentBytes += bytes.length;
    return bytes;
  }

  #handleUpdates(call: ClientReadableStream<ControlUpdate>): void {
    call.on('data', (update: ControlUpdate) => {
      if (this.#call !== call) return;
      if (!this.#hasReceivedUpdate) this.#noteFirstUpdate();
      this.#failures = 0;
      const now = this.#deps.clock.now();
      this.#freshness.note(update, now);
      this.#deps.listener.onUpdate(update, now);
      this.#updateMembers(update);
    });
    call.on('error', err => {
      if (this.#call === call) this.#onLost(err.message);
    });
    call.on('end', () => {
      if (this.#call === call) this.#onLost('ended');
    });
  }

  #updateMembers({controlMembers}: ControlUpdate): void {
    const addresses = controlMembers?.addresses;
    if (!addresses) return;
    this.#addresses.setDiscovered(addresses);
    this.#deps.log.info('control members known', {
      addresses: addresses.join(' '),
    });
    if (controlMembers.goOn) this.restart('member has no log yet');
  }

  #onLost(reason: string): void {
    const address = this.address;
    this.#deps.log.info('control subscription lost', {
      address,
      reason,
      ageMs: Math.round(this.#freshness.ageMs(this.#deps.clock.now())),
    });
    this.#close();
    this.#addresses.selectNext();
    this.#failures += 1;
    const delay = this.#nextDelay();
    this.#retryTimer = setTimeout(() => {
      this.#subscribe();
    }, delay);
  }

  /** Randomizes the delay so that nodes don't reconnect simultaneously. */
  #nextDelay(): number {
    const doublings = Math.min(this.#failures - 1, MAX_BACKOFF_DOUBLINGS);
    const ceiling = this.#settings.controlRetryMs * 2 ** doublings;
    return ceiling * (0.5 + this.#deps.random.next() / 2);
  }

  #close(): void {
    const call = this.#call;
    this.#call = undefined;
    call?.cancel();
    this.#client?.close();
    this.#client = undefined;
  }
}
