/**
 * A follower's link to the leader: mirrors the membership and the load, asks
 * for the confirmed revision and passes on convergence reports.
 */
import {
  Client,
  type ClientReadableStream,
  credentials,
  Metadata,
} from '@grpc/grpc-js';
import {type Clock, type Logger} from '@lovagepond/core';
import {CONTROL_SERVICE, lovagepond} from '@lovagepond/protocol';
import {CLIENT_OPTIONS} from './control_channel_constants.js';
import {type MembershipLog} from './membership_log.js';
import {type LoadReport} from './membership_registry.js';
import {CONTROL_ROLE} from './subscription_feed.js';
import {readLoad, readMembership} from './wire_utils.js';

const {v1} = lovagepond;

type WireUpdate = lovagepond.v1.ControlUpdate.$Properties;

/** Settings of {@link LeaderRelay}. */
export interface RelaySettings {
  readonly nodeName: string;
  readonly region: string;
  /** A stream silent for this long is opened anew. */
  readonly silentAfterMs: number;
  /** Longest wait for an answer of the leader. */
  readonly callTimeoutMs: number;
}

/** What a relay is built from. */
export interface RelayParts {
  readonly clock: Clock;
  readonly log: Logger;
  readonly membership: MembershipLog;
}

/** What a node says of the revision it holds. */
export interface RevisionReport {
  readonly node: string;
  readonly role: string;
  readonly revision: number;
}

interface HeardLoad {
  readonly load: LoadReport;
  readonly at: number;
}

/** Follows one leader at a time. */
export class LeaderRelay {
  readonly #settings: RelaySettings;
  readonly #parts: RelayParts;
  #leader = '';
  #client: Client | undefined;
  #stream: ClientReadableStream<WireUpdate> | undefined;
  #heardAt = -Infinity;
  #openedAt = -Infinity;
  #heardLoad: HeardLoad | undefined;

  constructor(settings: RelaySettings, parts: RelayParts) {
    this.#settings = settings;
    this.#parts = parts;
  }

  /**
   * Follows the leader, and opens its stream anew when it went silent.
   *
   * @param leader `host:port`; empty to follow nobody
   * @param now monotonic milliseconds
   */
  follow(leader: string, now: number): void {
    const {silentAfterMs} = this.#settings;
    const since = Math.max(this.#heardAt, this.#openedAt);
    const silent = now - since > silentAfterMs;
    if (leader === this.#leader && !(silent && leader !== '')) return;
    this.#close();
    this.#leader = leader;
    if (leader !== '') this.#open(now);
  }

  /**
   * @param now monotonic milliseconds
   * @returns true while the leader's stream is alive
   */
  isAlive(now: number): boolean {
    return now - this.#heardAt <= this.#settings.silentAfterMs;
  }

  /**
   * @param now monotonic milliseconds
   * @returns the leader's last load report with its age by now
   */
  load(now: number): LoadReport | undefined {
    if (!this.#heardLoad || !this.isAlive(now)) return undefined;
    const {load, at} = this.#heardLoad;
    return {...load, ageMs: load.ageMs + now - at};
  }

  /**
   * Passes a report to the leader.
   *
   * @param report what a node holds
   * @returns the revision in force, confirmed by a majority after the call
   *     began; undefined when the leader didn't answer
   */
  report(report: RevisionReport): Promise<number | undefined> {
    const client = this.#client;
    if (!client) return Promise.resolve(undefined);
    const method = CONTROL_SERVICE.reportConvergence;
    const wallTime = this.#parts.clock.wallTime();
    const deadline = wallTime + this.#settings.callTimeoutMs;
    return new Promise(resolve => {
      client.makeUnaryRequest(
        method.path,
        method.requestSerialize,
        method.responseDeserialize,
        new v1.ConvergenceReport(report),
        new Metadata(),
        {deadline},
        (err, res) => {
          const confirmed = !err && res?.confirmed === true;
          resolve(confirmed ? (res.revision ?? 0) : undefined);
        },
      );
    });
  }

  /** Ends the link. */
  stop(): void {
    this.#close();
    this.#leader = '';
  }

  #open(now: number): void {
    const {nodeName, region} = this.#settings;
    this.#openedAt = now;
    this.#client = new Client(
      this.#leader,
      credentials.createInsecure(),
      CLIENT_OPTIONS,
    );
    const method = CONTROL_SERVICE.subscribe;
    const stream = this.#client.makeServerStreamRequest(
      method.path,
      method.requestSerialize,
      method.responseDeserialize,
      new v1.SubscribeRequest({node: nodeName, role: CONTROL_ROLE, region}),
      new Metadata(),
      {},
    );
    this.#stream = stream;
    stream.on('data', (update: WireUpdate) => {
      if (this.#stream === stream) this.#take(update);
    });
    // The next tick opens it anew once the silence is long enough.
    stream.on('error', err => {
      const {message} = err;
      this.#parts.log.debug('leader stream ended', {message});
    });
  }

  #take(update: WireUpdate): void {
    const now = this.#parts.clock.now();
    this.#heardAt = now;
    if (update.membership) {
      this.#parts.membership.mirror(readMembership(update.membership));
    }
    if (update.load) this.#heardLoad = {load: readLoad(update.load), at: now};
  }

  #close(): void {
    const stream = this.#stream;
    this.#stream = undefined;
    stream?.cancel();
    this.#client?.close();
    this.#client = undefined;
    this.#heardAt = -Infinity;
  }
}
