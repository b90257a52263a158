/**
 * Keeps one subscription open to some control member in touch with the leader.
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

import {type CrashReport} from './router_quarantine.js';

const {v1} = lovagepond;

/** A control update as it was decoded. */
export type ControlUpdate = lovagepond.v1.ControlUpdate.$Properties;

/** What the link asks of the router when it subscribes. */
export interface SubscriberFacts {
  readonly node: string;
  readonly region: string;
  /** Changes of the configuration held may be sent in place of the whole. */
  readonly takesDeltas: boolean;
}

/** Settings of {@link ControlLink}, as in the router's settings. */
export interface ControlLinkSettings {
  readonly controlAddresses: readonly string[];
  readonly controlSilentAfterMs: number;
  readonly controlRetryMs: number;
}

/** Hears what control pushes. */
export interface ControlListener {
  /** @returns the revision held, for the next subscription */
  heldRevision(): number;
  onUpdate(update: ControlUpdate, now: number): void;
}

/** What the link needs besides its settings. */
export interface ControlLinkParts {
  readonly clock: Clock;
  readonly log: Logger;
  readonly random: Random;
  readonly listener: ControlListener;
}

const ROLE = 'router';

const MAX_BACKOFF_DOUBLINGS = 2;

/** Control forgets a node that it hasn't heard of for some minutes. */
const REPORT_INTERVAL_MS = 60_000;

const REPORT_TIMEOUT_MS = 1_000;

/**
 * Time that a connection to a member gets, milliseconds. The opening packet to
 * a host that is still without power is lost and sent again only after a second,
 * when the gateways that were up later have long been served. A round trip between
 * regions takes a tenth of a second, and the processes at both ends may just have
 * started.
 */
const CONNECT_TIMEOUT_MS = 300;

/** Diagnosis and retries of the library are left out: both cost, unused here. */
const CHANNEL_OPTIONS: ChannelOptions = {
  'grpc.use_local_subchannel_pool': 1,
  'grpc.enable_http_proxy': 0,
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 1_000,
  'grpc.enable_channelz': 0,
  'grpc.enable_retries': 0,
  'grpc.service_config_disable_resolution': 1,
};

/** Subscribes, watches for silence, and goes on to the next member. */
export class ControlLink {
  readonly #settings: ControlLinkSettings;
  readonly #facts: SubscriberFacts;
  readonly #parts: ControlLinkParts;
  readonly #addresses: ControlAddresses;
  #client: Client | undefined;
  #call: ClientReadableStream<ControlUpdate> | undefined;
  #heardAt = 0;
  /** The present subscription has brought something. */
  #isHeard = false;
  #failures = 0;
  #retryTimer: NodeJS.Timeout | undefined;
  #stopped = false;
  #receivedBytes = 0;
  #sentBytes = 0;
  #reportedAt = 0;

  constructor(
    settings: ControlLinkSettings,
    facts: SubscriberFacts,
    parts: ControlLinkParts,
  ) {
    this.#settings = settings;
    this.#facts = facts;
    this.#parts = parts;
    const {controlAddresses} = settings;
    this.#addresses = new ControlAddresses(controlAddresses, parts.random);
  }

  /** @returns bytes of control updates received since the start */
  get receivedBytes(): number {
    return this.#receivedBytes;
  }

  /** @returns bytes of reports and subscriptions sent since the start */
  get sentBytes(): number {
    return this.#sentBytes;
  }

  /** @returns `host:port` of the member asked last */
  get address(): string {
    return this.#addresses.current;
  }

  /** Starts to subscribe. */
  start(): void {
    this.#subscribe();
  }

  /** @param now present time, monotonic ms; call it a few times a second */
  tick(now: number): void {
    if (!this.#call) return;
    const silence = now - this.#heardAt;
    if (silence > this.#settings.controlSilentAfterMs) this.#onLost('silent');
    if (now - this.#reportedAt < REPORT_INTERVAL_MS) return;
    this.reportRevision(this.#parts.listener.heldRevision());
  }

  /**
   * Tells control which revision is in force here, so that operators see when
   * a change has taken hold everywhere. A report that gets lost is made up for
   * by the next one.
   *
   * @param revision the revision held
   */
  reportRevision(revision: number): void {
    void this.confirmRevision(revision);
  }

  /**
   * Reports the revision held, and asks for the newest one.
   *
   * @param revision the revision held
   * @param atOnce nothing is decided here until there is an answer
   * @returns the newest revision, confirmed by a majority after the call;
   *     undefined when there was no such answer
   */
  async confirmRevision(
    revision: number,
    atOnce = false,
  ): Promise<number | undefined> {
    this.#reportedAt = this.#parts.clock.now();
    const {node} = this.#facts;
    const report = {node, role: ROLE, revision, atOnce};
    const res = await this.#ask(
      CONTROL_SERVICE.reportConvergence,
      new v1.ConvergenceReport(report),
    );
    return res?.confirmed ? (res.revision ?? 0) : undefined;
  }

  /**
   * Tells the other routers what servers do for this one. A report that gets
   * lost costs some reading, so it isn't sent again.
   *
   * @param report what changed since the last report
   */
  reportReadings(
    report: Pick<
      lovagepond.v1.ReadingReport.$Properties,
      'readings' | 'running'
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
        this.#parts.log.debug('readings not reported', {reason: err.message});
      },
    );
  }

  /**
   * Tells control of servers that crashed.
   *
   * @param report what control doesn't have
   * @returns false when it has to be told again
   */
  async reportCrashes(report: CrashReport): Promise<boolean> {
    const {node} = this.#facts;
    const res = await this.#ask(
      CONTROL_SERVICE.reportCrashes,
      new v1.CrashReport({...report, node}),
    );
    return res?.recorded ?? false;
  }

  /** Subscribes anew, saying what is held by now. */
  restart(reason: string): void {
    if (this.#call) this.#onLost(reason);
  }

  /** Ends the subscription. */
  stop(): void {
    this.#stopped = true;
    clearTimeout(this.#retryTimer);
    this.#close();
  }

  /** @returns the member's answer; undefined when there was none in time */
  #ask<Req, Res>(
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
    this.#heardAt = this.#parts.clock.now();
    this.#isHeard = false;
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
        revision: this.#parts.listener.heldRevision(),
      }),
      new Metadata(),
      {},
    );
    this.#call = call;
    this.#listen(call);
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

  #noteHeard(): void {
    this.#isHeard = true;
    this.#addresses.noteContact();
    this.#parts.log.info('control subscription holds', {address: this.address});
  }

  #countSent(bytes: Buffer): Buffer {
    this.#sentBytes += bytes.length;
    return bytes;
  }

  #listen(call: ClientReadableStream<ControlUpdate>): void {
    call.on('data', (update: ControlUpdate) => {
      if (this.#call !== call) return;
      if (!this.#isHeard) this.#noteHeard();
      this.#failures = 0;
      this.#heardAt = this.#parts.clock.now();
      this.#parts.listener.onUpdate(update, this.#heardAt);
      this.#learnMembers(update);
    });
    call.on('error', err => {
      if (this.#call === call) this.#onLost(err.message);
    });
    call.on('end', () => {
      if (this.#call === call) this.#onLost('ended');
    });
  }

  #learnMembers({controlMembers}: ControlUpdate): void {
    const addresses = controlMembers?.addresses;
    if (!addresses) return;
    this.#addresses.setDiscovered(addresses);
    this.#parts.log.info('control members known', {
      addresses: addresses.join(' '),
    });
    if (controlMembers.goOn) this.restart('it has no log yet');
  }

  #onLost(reason: string): void {
    const address = this.address;
    this.#parts.log.info('control subscription lost', {address, reason});
    this.#close();
    this.#addresses.selectNext();
    this.#failures += 1;
    const delay = this.#nextDelay();
    this.#retryTimer = setTimeout(() => {
      this.#subscribe();
    }, delay);
  }

  /** Waits differ, so that a restarted member isn't met by all at once. */
  #nextDelay(): number {
    const doublings = Math.min(this.#failures - 1, MAX_BACKOFF_DOUBLINGS);
    const ceiling = this.#settings.controlRetryMs * 2 ** doublings;
    return ceiling * (0.5 + this.#parts.random.next() / 2);
  }

  #close(): void {
    const call = this.#call;
    this.#call = undefined;
    call?.cancel();
    this.#client?.close();
    this.#client = undefined;
  }
}
