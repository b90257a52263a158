/**
 * The effect of one workspace's surge on nine quiet workspaces at one sidecar.
 */
import {type GateAction, type SidecarGate} from '@lovagepond/sidecar';
import {Random} from '@lovagepond/core';
import {Distribution, percentOf, roundTo} from './measure_statistics.js';
import {type MeasureSection} from './measure_types.js';
import {makeMeasuredGate, makeMeasuredOffer} from './sidecar_offer_utils.js';

const SEED = 417;
const STEP_MS = 5;
const LENGTH_MS = 60_000;
const SURGE_FROM_MS = 10_000;
const SURGE_UNTIL_MS = 30_000;
const QUIET_WORKSPACES = 9;
const QUIET_INTERVAL_MS = 1_500;
const TOKENS_PER_MS = 10;
const FLOOR_TOKENS = 8_000;
const DIGITS = 0;

/** A surge and the queueing of the workspaces. */
interface Case {
  readonly name: string;
  /** Surging requests a second; the server finishes about 14. */
  readonly surge: number;
  /** All requests belong to one workspace: first come, first served. */
  readonly singleWorkspace: boolean;
}

const CASES: readonly Case[] = [
  {name: 'no surge', surge: 0, singleWorkspace: false},
  {name: 'surge, first come first served', surge: 200, singleWorkspace: true},
  {name: 'surge, fair queue', surge: 200, singleWorkspace: false},
];

/** A simulated server: finishes runs in order, at a fixed token rate. */
class MeasuredServer {
  readonly #gate: SidecarGate;
  readonly #tokens = new Map<string, number>();
  readonly #runs: string[] = [];
  readonly quietWaitMs = new Distribution(1);
  readonly refused = {quiet: 0, surging: 0};
  readonly offered = {quiet: 0, surging: 0};
  readonly retryAfterMs = new Distribution(1);
  #credit = 0;

  constructor(gate: SidecarGate) {
    this.#gate = gate;
  }

  offer(
    attemptId: string,
    workspace: string,
    tokens: number,
    now: number,
  ): void {
    this.offered[kindOf(attemptId)] += 1;
    this.#tokens.set(attemptId, tokens);
    const offer = makeMeasuredOffer(attemptId, {workspace, tokens});
    this.apply(this.#gate.offer(offer, now));
  }

  step(now: number): void {
    this.apply(this.#gate.tick(now));
    this.#credit += this.#runs.length > 0 ? STEP_MS * TOKENS_PER_MS : 0;
    for (;;) {
      const [attemptId] = this.#runs;
      const tokens = this.#tokens.get(attemptId ?? '') ?? Infinity;
      if (attemptId === undefined || tokens > this.#credit) return;
      this.#credit -= tokens;
      this.#runs.shift();
      this.apply(this.#gate.finish(attemptId, {kind: 'done'}, now));
    }
  }

  apply(actions: readonly GateAction[]): void {
    for (const action of actions) {
      const kind = kindOf(action.attemptId);
      if (action.kind === 'dispatch') {
        this.#runs.push(action.attemptId);
        if (kind === 'quiet') this.quietWaitMs.record(action.heldMs);
      }
      if (action.kind !== 'refuse') continue;
      this.refused[kind] += 1;
      this.retryAfterMs.record(action.failure.retryAfterMs);
    }
  }
}

function kindOf(attemptId: string): 'quiet' | 'surging' {
  return attemptId.startsWith('quiet') ? 'quiet' : 'surging';
}

function runCase({name, surge, singleWorkspace}: Case): (string | number)[] {
  const random = new Random(SEED);
  const gate = makeMeasuredGate({floorTokens: FLOOR_TOKENS});
  const server = new MeasuredServer(gate);
  let made = 0;
  const maybeOffer = (kind: string, probability: number, now: number): void => {
    if (random.next() >= probability) return;
    const tokens = 300 + random.below(800);
    const workspace = singleWorkspace ? 'all' : kind;
    server.offer(`${kind}-${made++}`, workspace, tokens, now);
  };
  for (let now = 0; now < LENGTH_MS; now += STEP_MS) {
    const surging = now >= SURGE_FROM_MS && now < SURGE_UNTIL_MS;
    for (let index = 0; index < QUIET_WORKSPACES; index++) {
      maybeOffer(`quiet${index}`, STEP_MS / QUIET_INTERVAL_MS, now);
    }
    if (surging) maybeOffer('surging', (surge * STEP_MS) / 1_000, now);
    server.step(now);
  }
  const {quietWaitMs, refused, offered, retryAfterMs} = server;
  return [
    name,
    roundTo(quietWaitMs.percentile(50), DIGITS),
    roundTo(quietWaitMs.percentile(95), DIGITS),
    roundTo(quietWaitMs.max, DIGITS),
    roundTo(percentOf(refused.quiet, offered.quiet), 1),
    roundTo(percentOf(refused.surging, offered.surging), 1),
    roundTo(retryAfterMs.percentile(50), DIGITS),
  ];
}

/** @returns waits and refusals of quiet workspaces beside a surge */
export function measureFairness(): MeasureSection {
  return {
    title: 'Sidecar: nine quiet workspaces beside a surge',
    columns: [
      'case',
      'quiet wait p50 ms',
      'p95 ms',
      'max ms',
      'quiet refused %',
      'surge refused %',
      'retry after p50 ms',
    ],
    rows: CASES.map(runCase),
    notes: [
      `Seed ${SEED}; ${LENGTH_MS / 1_000} s of virtual time, surge of 20 s.`,
      `Nine workspaces send every ${QUIET_INTERVAL_MS} ms each on average.`,
    ],
  };
}
