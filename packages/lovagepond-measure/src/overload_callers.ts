/**
 * Open-loop callers: requests arrive as a Poisson process, whatever became of
 * earlier ones, and each caller leaves at its deadline.
 */
import {DEFAULT_HEADER_NAMES} from '@lovagepond/gateway';
import {
  answerFor,
  DISPOSITION,
  parseErrorKind,
  Random,
  z,
} from '@lovagepond/core';
import {Pool} from 'undici';
import {HOST, keyOf} from './overload_fleet.js';
import {
  type CallerGroup,
  capacityOf,
  OUTCOME,
  type Outcome,
  type OverloadScenario,
  PROMPT,
  type RequestRecord,
  STREAM,
  TIMES,
} from './overload_types.js';

const NAMES = DEFAULT_HEADER_NAMES;
const FIRST_ERROR_STATUS = 400;
const MS_PER_SECOND = 1_000;

const ERROR_BODY = z.object({error: z.object({kind: z.string()})});

/** @returns true if the body is a gateway's error that says "not run" */
function saysNotRun(text: string): boolean {
  try {
    const {kind} = ERROR_BODY.parse(JSON.parse(text)).error;
    return answerFor(parseErrorKind(kind)).disposition === DISPOSITION.NOT_RUN;
  } catch {
    return false;
  }
}

interface Answer {
  readonly outcome: Outcome;
  readonly firstMs: number;
  readonly retryAfterMs?: number;
  /** No byte was sent, as the gateway refused the connection. */
  readonly isUnsent?: boolean;
}

export interface CallerSettings {
  readonly scenario: OverloadScenario;
  readonly addresses: readonly string[];
  readonly seed: number;
  readonly followsRetryAfter: boolean;
  /** Monotonic milliseconds of the end of the warm-up. */
  readonly zeroAt: number;
  /** When the last request is sent, since `zeroAt`. */
  readonly endMs: number;
}

export class OverloadCallers {
  readonly records: RequestRecord[] = [];
  readonly #settings: CallerSettings;
  readonly #pools: readonly Pool[];
  readonly #random: Random;
  readonly #open = new Set<Promise<void>>();
  #lastId = 0;

  constructor(settings: CallerSettings) {
    this.#settings = settings;
    this.#random = new Random(settings.seed);
    const limits = {headersTimeout: 0, bodyTimeout: 0, connections: null};
    this.#pools = settings.addresses.map(
      address => new Pool(`http://${address}`, limits),
    );
  }

  /** Number of callers so far. */
  get sent(): number {
    return this.#lastId;
  }

  /** Resolves when every caller has its answer or has left. */
  async run(): Promise<void> {
    const {scenario, seed} = this.#settings;
    const processes = scenario.groups.flatMap((group, index) => {
      const gateways = group.gateways ?? [...this.#pools.keys()];
      return gateways.map(gateway => {
        const random = new Random(seed + 1 + index * MS_PER_SECOND + gateway);
        return this.#arrivals(group, index, gateway, gateways.length, random);
      });
    });
    await Promise.all(processes);
    await Promise.all(this.#open);
    await Promise.all(this.#pools.map(pool => pool.destroy()));
  }

  async #arrivals(
    group: CallerGroup,
    index: number,
    gateway: number,
    gateways: number,
    random: Random,
  ): Promise<void> {
    const {scenario, zeroAt, endMs} = this.#settings;
    const {surge, backends} = scenario;
    const rate = (group.load * capacityOf(backends)) / gateways;
    let nextAt = performance.now();
    for (;;) {
      const sinceZero = nextAt - zeroAt;
      if (sinceZero >= endMs) return;
      const isSurge =
        surge && sinceZero >= surge.fromMs && sinceZero < surge.toMs;
      const factor = isSurge ? surge.factor : 1;
      nextAt += random.exponential(MS_PER_SECOND / (rate * factor));
      const waitMs = nextAt - performance.now();
      if (waitMs > 0) await new Promise(done => setTimeout(done, waitMs));
      const request = this.#request(group, index, gateway);
      this.#open.add(request);
      void request.finally(() => this.#open.delete(request));
    }
  }

  async #request(
    group: CallerGroup,
    index: number,
    gateway: number,
  ): Promise<void> {
    const {scenario, zeroAt, followsRetryAfter} = this.#settings;
    const {deadlineMs} = TIMES[scenario.backends.kind];
    const sentAt = performance.now();
    const deadlineAt = sentAt + deadlineMs;
    this.#lastId += 1;
    const id = `r${this.#lastId}`;
    const headers = this.#headers(group, id);
    const send = (to: number): Promise<Answer> =>
      this.#send(to % this.#pools.length, group.kind, headers, deadlineAt);
    let answer = await send(gateway);
    // Callers go on to another gateway, as behind a load balancer.
    if (answer.isUnsent) answer = await send(gateway + 1);
    const {retryAfterMs} = answer;
    const toldAt = performance.now();
    let endAt = toldAt;
    const isInTime = toldAt + (retryAfterMs ?? Infinity) < deadlineAt;
    if (followsRetryAfter && isInTime) {
      await new Promise(done => setTimeout(done, retryAfterMs));
      answer = await send(gateway);
      if (answer.outcome === OUTCOME.SERVED) endAt = performance.now();
    }
    const {outcome, firstMs} = answer;
    this.records.push({
      id,
      group: index,
      sentAtMs: sentAt - zeroAt,
      outcome,
      firstMs: firstMs && firstMs - sentAt,
      endMs: endAt - sentAt,
    });
  }

  #headers({workspace, kind}: CallerGroup, id: string): Record<string, string> {
    const {scenario} = this.#settings;
    const {deadlineMs} = TIMES[scenario.backends.kind];
    const {sharedTokens, ownTokens} = PROMPT;
    const prefix = `p${this.#random.below(Math.max(1, scenario.prefixes))}`;
    const parts = `${prefix}:${sharedTokens},${id}:${ownTokens}`;
    const tokens = `${sharedTokens + ownTokens},${STREAM.events}`;
    return {
      host: HOST,
      [NAMES.requestId]: id,
      [NAMES.apiKey]: keyOf(workspace),
      [NAMES.deadlineMs]: String(deadlineMs),
      ...(kind.endsWith('stream') && {
        [NAMES.tokenUsage]: tokens,
        [NAMES.promptParts]: parts,
      }),
    };
  }

  async #send(
    gateway: number,
    kind: string,
    headers: Record<string, string>,
    deadlineAt: number,
  ): Promise<Answer> {
    const left = new AbortController();
    const waitMs = Math.max(0, deadlineAt - performance.now());
    const timer = setTimeout(() => {
      left.abort();
    }, waitMs);
    const deadline = {[NAMES.deadlineMs]: String(Math.max(1, waitMs | 0))};
    let firstMs = 0;
    try {
      const res = await (this.#pools[gateway] as Pool).request({
        method: 'GET',
        path: `/${kind}/x`,
        headers: {...headers, ...deadline},
        signal: left.signal,
      });
      const {statusCode, body, headers: fields} = res;
      let text = '';
      for await (const chunk of body) {
        firstMs ||= performance.now();
        if (statusCode >= FIRST_ERROR_STATUS) text += String(chunk);
      }
      if (statusCode < FIRST_ERROR_STATUS) {
        return {outcome: OUTCOME.SERVED, firstMs};
      }
      if (!saysNotRun(text)) {
        return {outcome: OUTCOME.FAILED, firstMs: 0};
      }
      const retryAfterMs = Number(fields['retry-after']) * MS_PER_SECOND;
      return {outcome: OUTCOME.REFUSED, firstMs: 0, retryAfterMs};
    } catch (err) {
      const {code} = err as NodeJS.ErrnoException;
      if (code === 'ECONNREFUSED') {
        return {outcome: OUTCOME.FAILED, firstMs: 0, isUnsent: true};
      }
      const outcome = left.signal.aborted ? OUTCOME.LEFT : OUTCOME.FAILED;
      return {outcome, firstMs};
    } finally {
      clearTimeout(timer);
    }
  }
}
