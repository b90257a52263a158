/**
 * Answers routers' questions for retries at the leader. Each grant is in the
 * replicated log before a router learns of it.
 */
import {
  type Clock,
  RETRY_ANSWER_MS,
  type RetryAllowance,
} from '@lovagepond/core';
import {lovagepond} from '@lovagepond/protocol';
import {type ControlSettings} from './control_settings.js';
import {RETRIES_COMMAND, RETRY_LOG_VERSION} from './control_commands.js';
import {type ControlStateMachine} from './control_state_machine.js';
import {type Proposer} from './proposer.js';
import {
  grantKeptMs,
  requestKeptMs,
  retriesLeft,
  shareRetries,
  sumByPool,
  type WantedRetries,
} from './retry_decision.js';
import {RetryRequestCounts} from './retry_request_counts.js';
import {readRequestCounts, readWantedRetries} from './wire_utils.js';

const {v1} = lovagepond;

type WireRequest = lovagepond.v1.RetryRequest.$Properties;

/**
 * Shortest time between two entries of the log, milliseconds. Questions that
 * arrive meanwhile are answered together.
 */
const MIN_ENTRY_INTERVAL_MS = 20;

/**
 * Time for which a router doesn't ask again, milliseconds for each router: the
 * leader answers at most a thousand questions a second.
 */
const INTERVAL_MS_PER_ROUTER = 1;

/** Retries of a pool since the start of this member. */
interface RetryCounts {
  granted: number;
  refused: number;
}

/** State for metrics and the state dump. */
export interface RetryIssuerState {
  readonly grantedByPool: Readonly<Record<string, number>>;
  readonly refusedByPool: Readonly<Record<string, number>>;
  /** Empty at members that don't lead. */
  readonly leftByPool: Readonly<Record<string, number>>;
}

export type RetryIssuerSettings = Pick<
  ControlSettings,
  'retryFraction' | 'retryWindowMs' | 'retrySlack'
>;

export interface RetryIssuerDependencies {
  readonly clock: Clock;
  readonly machine: Pick<ControlStateMachine, 'retries'>;
  readonly proposer: Pick<Proposer, 'leads' | 'propose'>;
  /** @returns true once this member knows all that former leaders granted */
  readonly hasTakenOver: () => boolean;
  /** @returns the lowest log version among the members */
  readonly oldestLogVersion: () => number;
  readonly forwardToLeader: (
    req: lovagepond.v1.RetryRequest,
  ) => Promise<lovagepond.v1.RetryResponse>;
}

interface Question {
  readonly wanted: WantedRetries;
  readonly resolve: (res: lovagepond.v1.RetryResponse) => void;
}

export class RetryIssuer {
  readonly #allowance: RetryAllowance;
  readonly #deps: RetryIssuerDependencies;
  readonly #requests: RetryRequestCounts;
  readonly #counts = new Map<string, RetryCounts>();
  #waiting: Question[] = [];
  #isAnswering = false;

  /**
   * @param settings what the servers of each pool may get
   * @param deps the replicated log, and the way to the leader
   */
  constructor(
    {retryFraction, retryWindowMs, retrySlack}: RetryIssuerSettings,
    deps: RetryIssuerDependencies,
  ) {
    this.#allowance = {
      fraction: retryFraction,
      windowMs: retryWindowMs,
      slack: retrySlack,
    };
    this.#deps = deps;
    this.#requests = new RetryRequestCounts(requestKeptMs(this.#allowance));
  }

  /**
   * @param counts a router's report of its requests
   * @param now current time, monotonic milliseconds
   */
  noteRequests(counts: WireRequest['requests'], now: number): void {
    if (counts) this.#requests.note(readRequestCounts(counts), now);
  }

  /**
   * @param req a router's question
   * @returns the grants of the leader; unanswered if there is none, or if it
   *     can't store them in time
   */
  async take(
    req: lovagepond.v1.RetryRequest,
  ): Promise<lovagepond.v1.RetryResponse> {
    const {proposer, forwardToLeader} = this.#deps;
    if (!proposer.leads()) return forwardToLeader(req);
    if (!this.#canIssue()) return new v1.RetryResponse();
    this.noteRequests(req.requests, this.#deps.clock.now());
    return new Promise(resolve => {
      this.#waiting.push({wanted: readWantedRetries(req.wanted), resolve});
      if (!this.#isAnswering) void this.#answerAll();
    });
  }

  /**
   * Must be called periodically.
   *
   * @param now current time, monotonic milliseconds
   */
  expire(now: number): void {
    this.#requests.expire(now);
  }

  /**
   * @param now current time, monotonic milliseconds
   * @returns retries by pool, for operators
   */
  describe(now: number): RetryIssuerState {
    const counts = [...this.#counts];
    const issues = this.#deps.proposer.leads() && this.#canIssue();
    const pools = issues
      ? new Set([...this.#requests.pools, ...this.#counts.keys()])
      : [];
    return {
      grantedByPool: Object.fromEntries(
        counts.map(([pool, {granted}]) => [pool, granted]),
      ),
      refusedByPool: Object.fromEntries(
        counts.map(([pool, {refused}]) => [pool, refused]),
      ),
      leftByPool: Object.fromEntries(
        [...pools].map(pool => [pool, this.#leftOf(pool, now)]),
      ),
    };
  }

  /** A member of an earlier release would stop at an unknown command. */
  #canIssue(): boolean {
    const {hasTakenOver, oldestLogVersion} = this.#deps;
    return hasTakenOver() && oldestLogVersion() >= RETRY_LOG_VERSION;
  }

  async #answerAll(): Promise<void> {
    this.#isAnswering = true;
    while (this.#waiting.length > 0) {
      const questions = this.#waiting;
      this.#waiting = [];
      const beganAt = this.#deps.clock.now();
      await this.#answer(questions, beganAt);
      const tookMs = this.#deps.clock.now() - beganAt;
      await sleep(MIN_ENTRY_INTERVAL_MS - tookMs);
    }
    this.#isAnswering = false;
  }

  async #answer(questions: readonly Question[], now: number): Promise<void> {
    const granted = shareRetries(
      questions.map(({wanted}) => wanted),
      pool => this.#leftOf(pool, now),
    );
    const isStored = await this.#store(granted, now).catch(() => false);
    const answeredAt = this.#deps.clock.now();
    const pools = new Set(questions.flatMap(({wanted}) => [...wanted.keys()]));
    const left = new Map(
      [...pools].map(pool => [pool, this.#leftOf(pool, answeredAt)]),
    );
    const reporting = this.#requests.countReporting(answeredAt);
    const intervalMs = reporting * INTERVAL_MS_PER_ROUTER;
    for (const [at, {wanted, resolve}] of questions.entries()) {
      const own = granted[at] ?? new Map<string, number>();
      const res = isStored
        ? this.#toResponse(wanted, own, left, intervalMs)
        : new v1.RetryResponse();
      resolve(res);
    }
  }

  /** @returns true if the grants may be told now */
  async #store(
    granted: readonly ReadonlyMap<string, number>[],
    now: number,
  ): Promise<boolean> {
    const pools = sumByPool(granted.flatMap(own => [...own]));
    if (pools.length === 0) return true;
    const outcome = await this.#deps.proposer.propose(RETRIES_COMMAND, {
      pools,
      keepMs: grantKeptMs(this.#allowance),
    });
    const tookMs = this.#deps.clock.now() - now;
    return outcome.kind === 'committed' && tookMs < RETRY_ANSWER_MS;
  }

  #toResponse(
    wanted: WantedRetries,
    granted: ReadonlyMap<string, number>,
    left: ReadonlyMap<string, number>,
    intervalMs: number,
  ): lovagepond.v1.RetryResponse {
    return new v1.RetryResponse({
      answered: true,
      granted: [...wanted].map(([pool, asked]) => {
        const count = granted.get(pool) ?? 0;
        const counts = this.#countsOf(pool);
        counts.granted += count;
        counts.refused += asked - count;
        return {pool, count, left: left.get(pool) ?? 0};
      }),
      intervalMs,
    });
  }

  #leftOf(pool: string, now: number): number {
    const requests = this.#requests.counterOf(pool, now);
    const grants = this.#deps.machine.retries.list(pool);
    return retriesLeft(this.#allowance, requests, grants, now);
  }

  #countsOf(pool: string): RetryCounts {
    const known = this.#counts.get(pool);
    if (known) return known;
    const counts = {granted: 0, refused: 0};
    this.#counts.set(pool, counts);
    return counts;
  }
}

function sleep(ms: number): Promise<void> {
  if (ms <= 0) return Promise.resolve();
  return new Promise(resolve => {
    setTimeout(resolve, ms);
  });
}
