/**
 * A follower's client of the leader. It mirrors the membership and the load,
 * requests the confirmed revision, and forwards reports.
 */
import {
  Client,
  type ClientReadableStream,
  credentials,
  Metadata,
  type MethodDefinition,
} from '@grpc/grpc-js';
import {type Clock, type Logger} from '@lovagepond/core';
import {CONTROL_SERVICE, lovagepond} from '@lovagepond/protocol';
import {LOG_VERSION} from './control_commands.js';
import {CLIENT_OPTIONS} from './control_channel_constants.js';
import {type ControlSettings} from './control_settings.js';
import {type MembershipLog} from './membership_log.js';
import {type LoadReport} from './membership_registry.js';
import {CONTROL_ROLE} from './subscription_feed.js';
import {type ReadingReport} from './reading_report_log.js';
import {readLoad, readMembership, readReadings} from './wire_utils.js';

const {v1} = lovagepond;

type WireUpdate = lovagepond.v1.ControlUpdate.$Properties;

/** Time before a stream that ended is reopened, milliseconds. */
const REOPEN_AFTER_MS = 200;

/** Timeout of a follower's calls to the leader. */
const LEADER_CALL_TIMEOUT_MS = 1_000;

export interface LeaderClientSettings {
  readonly nodeName: string;
  readonly region: string;
  /** A stream without updates for this long is reopened. */
  readonly silentAfterMs: number;
  /** Age beyond which a load report isn't used. */
  readonly loadValidMs: number;
  /** Timeout of calls to the leader. */
  readonly callTimeoutMs: number;
}

/** Silences of the leader that fit into the contact limit, with reopenings. */
const SILENCES_PER_CONTACT_LIMIT = 2;

/**
 * @param settings settings of the member
 * @returns settings of its client of the leader
 */
export function toLeaderClientSettings({
  nodeName,
  region,
  leaderContactLimitMs,
}: ControlSettings): LeaderClientSettings {
  return {
    nodeName,
    region,
    silentAfterMs: leaderContactLimitMs / SILENCES_PER_CONTACT_LIMIT,
    loadValidMs: leaderContactLimitMs,
    callTimeoutMs: LEADER_CALL_TIMEOUT_MS,
  };
}

export interface LeaderClientDependencies {
  readonly clock: Clock;
  readonly log: Logger;
  readonly membership: MembershipLog;
  /** Called when the mirrored membership has changed. */
  readonly onMembership: () => void;
  /** Called with each router's report that the leader publishes. */
  readonly onReadings: (report: ReadingReport) => void;
}

/** A node's report of the configuration revision that it holds. */
export interface RevisionReport {
  readonly node: string;
  readonly role: string;
  readonly revision: number;
  /**
   * Whether the sender is blocked until it gets the answer. Otherwise, the
   * leader may confirm the revision with its next heartbeat.
   */
  readonly atOnce: boolean;
}

interface ReceivedLoad {
  readonly load: LoadReport;
  readonly at: number;
}

export class LeaderClient {
  readonly #settings: LeaderClientSettings;
  readonly #deps: LeaderClientDependencies;
  #leader = '';
  #client: Client | undefined;
  #stream: ClientReadableStream<WireUpdate> | undefined;
  #lastContactAt = -Infinity;
  #openedAt = -Infinity;
  #ended = false;
  #lastLoad: ReceivedLoad | undefined;

  constructor(settings: LeaderClientSettings, deps: LeaderClientDependencies) {
    this.#settings = settings;
    this.#deps = deps;
  }

  /**
   * Subscribes to a leader, and reopens its stream when it ended or is silent.
   *
   * @param leader `host:port`; empty to close the connection
   * @param now monotonic milliseconds
   */
  follow(leader: string, now: number): void {
    if (leader === this.#leader && !this.#needsReopening(now)) return;
    this.#close();
    this.#leader = leader;
    if (leader !== '') this.#open(now);
  }

  /** Time of the leader's last update, monotonic milliseconds. */
  get lastContactAt(): number {
    return this.#lastContactAt;
  }

  /**
   * @param now monotonic milliseconds
   * @returns the leader's last load report with its present age; undefined when
   *     there is none or it is too old
   */
  load(now: number): LoadReport | undefined {
    if (!this.#lastLoad) return undefined;
    const {load, at} = this.#lastLoad;
    if (now - at > this.#settings.loadValidMs) return undefined;
    return {...load, ageMs: load.ageMs + now - at};
  }

  /**
   * @param report a node's revision
   * @returns the revision in force, confirmed by a majority after the call
   *     began; undefined when the leader didn't answer
   */
  async report(report: RevisionReport): Promise<number | undefined> {
    const method = CONTROL_SERVICE.reportConvergence;
    const res = await this.#call(method, new v1.ConvergenceReport(report));
    return res?.confirmed ? (res.revision ?? 0) : undefined;
  }

  /**
   * Doesn't retry: a lost report only means that prompts are processed again.
   *
   * @param report the router's report
   */
  forwardReadings(report: lovagepond.v1.ReadingReport): void {
    const method = CONTROL_SERVICE.reportReadings;
    const wallTime = this.#deps.clock.wallTime();
    this.#client?.makeUnaryRequest(
      method.path,
      method.requestSerialize,
      method.responseDeserialize,
      report,
      new Metadata(),
      {deadline: wallTime + this.#settings.callTimeoutMs},
      err => {
        if (!err) return;
        const {message} = err;
        this.#deps.log.debug('readings not forwarded', {message});
      },
    );
  }

  /**
   * @param report the router's report
   * @returns the leader's answer; `recorded` is false when there was none
   */
  async reportCrashes(
    report: lovagepond.v1.CrashReport,
  ): Promise<lovagepond.v1.CrashReportResponse> {
    const res = await this.#call(CONTROL_SERVICE.reportCrashes, report);
    return new v1.CrashReportResponse({recorded: res?.recorded ?? false});
  }

  /**
   * @param req a router's question for retries
   * @returns the leader's answer; unanswered when there was none
   */
  async requestRetries(
    req: lovagepond.v1.RetryRequest,
  ): Promise<lovagepond.v1.RetryResponse> {
    const res = await this.#call(CONTROL_SERVICE.requestRetries, req);
    return new v1.RetryResponse(res);
  }

  /**
   * @param req a router's question for the history of streams
   * @returns the leader's answer; unconfirmed when there was none
   */
  async readStreamHistory(
    req: lovagepond.v1.StreamHistoryRequest,
  ): Promise<lovagepond.v1.StreamHistoryResponse> {
    const res = await this.#call(CONTROL_SERVICE.readStreamHistory, req);
    return new v1.StreamHistoryResponse(res);
  }

  /** Closes the connection. */
  stop(): void {
    this.#close();
    this.#leader = '';
  }

  /** @returns the leader's answer; undefined after a failure or the timeout */
  #call<Req, Res>(
    method: MethodDefinition<Req, Res>,
    message: Req,
  ): Promise<Res | undefined> {
    const client = this.#client;
    if (!client) return Promise.resolve(undefined);
    const wallTime = this.#deps.clock.wallTime();
    const deadline = wallTime + this.#settings.callTimeoutMs;
    return new Promise(resolve => {
      client.makeUnaryRequest(
        method.path,
        method.requestSerialize,
        method.responseDeserialize,
        message,
        new Metadata(),
        {deadline},
        (err, res) => {
          resolve(err ? undefined : res);
        },
      );
    });
  }

  /** An ended stream is reopened soon, a silent one after a longer time. */
  #needsReopening(now: number): boolean {
    if (this.#leader === '') return false;
    if (this.#ended) return now - this.#openedAt > REOPEN_AFTER_MS;
    const since = Math.max(this.#lastContactAt, this.#openedAt);
    return now - since > this.#settings.silentAfterMs;
  }

  #open(now: number): void {
    const {nodeName, region} = this.#settings;
    this.#openedAt = now;
    this.#ended = false;
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
      new v1.SubscribeRequest({
        node: nodeName,
        role: CONTROL_ROLE,
        region,
        logVersion: LOG_VERSION,
      }),
      new Metadata(),
      {},
    );
    this.#stream = stream;
    stream.on('data', (update: WireUpdate) => {
      if (this.#stream === stream) this.#handleUpdate(update);
    });
    stream.on('error', err => {
      if (this.#stream === stream) this.#ended = true;
      const {message} = err;
      this.#deps.log.debug('leader stream ended', {message});
    });
  }

  #handleUpdate(update: WireUpdate): void {
    const now = this.#deps.clock.now();
    this.#lastContactAt = now;
    if (update.membership) {
      this.#deps.membership.mirror(readMembership(update.membership));
      this.#deps.onMembership();
    }
    for (const report of update.readings?.reports ?? []) {
      this.#deps.onReadings(readReadings(report));
    }
    if (update.load) this.#lastLoad = {load: readLoad(update.load), at: now};
  }

  #close(): void {
    const stream = this.#stream;
    this.#stream = undefined;
    stream?.cancel();
    this.#client?.close();
    this.#client = undefined;
    this.#lastContactAt = -Infinity;
  }
}
