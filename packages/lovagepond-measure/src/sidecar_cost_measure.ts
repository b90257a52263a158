/**
 * Processor time of the gate's decisions, by the length of its queue.
 */
import {type GateAction, type SidecarGate} from '@lovagepond/sidecar';
import {roundTo} from './measure_statistics.js';
import {type MeasureSection} from './measure_types.js';
import {makeMeasuredGate, makeMeasuredOffer} from './sidecar_offer_utils.js';

const QUEUE_LENGTHS = [0, 100, 1_000, 10_000] as const;
const WORKSPACES = 10;
const CHATS = 4_000;
const WARM_UP = 2_000;
const DECISIONS = 10_000;
const REVIEWS = 50;
const TOKENS = 700;
const FLOOR_TOKENS = 14_000;
const MICROSECONDS = 1_000;

/** A gate with a queue of a given length, and its running attempts. */
class LoadedGate {
  readonly gate: SidecarGate;
  readonly #running: string[] = [];
  #offered = 0;

  constructor(queueLength: number) {
    this.gate = makeMeasuredGate(
      {floorTokens: FLOOR_TOKENS, maxQueuedRequests: QUEUE_LENGTHS[3] * 2},
      {maxHoldMs: 1e9},
    );
    const running = FLOOR_TOKENS / TOKENS;
    for (let index = 0; index < queueLength + running; index++) this.offer();
  }

  /** Offers a new request. */
  offer(): void {
    const number = this.#offered++;
    const workspace = `workspace-${number % WORKSPACES}`;
    const chat = `chat-${number % CHATS}`;
    const offer = makeMeasuredOffer(`attempt-${number}`, {workspace, chat});
    this.#apply(this.gate.offer(offer, 0));
  }

  /** Finishes the oldest run; the gate dispatches the next request. */
  finish(): void {
    const attemptId = this.#running.shift();
    if (attemptId === undefined) return;
    this.#apply(this.gate.finish(attemptId, {kind: 'failed'}, 0));
  }

  #apply(actions: readonly GateAction[]): void {
    for (const {kind, attemptId} of actions) {
      if (kind === 'dispatch') this.#running.push(attemptId);
    }
  }
}

/** @returns microseconds per call */
function timeEach(count: number, call: () => void): number {
  const started = performance.now();
  for (let index = 0; index < count; index++) call();
  return ((performance.now() - started) / count) * MICROSECONDS;
}

function measureLength(length: number): (string | number)[] {
  const loaded = new LoadedGate(length);
  const finishAndOffer = (): void => {
    loaded.finish();
    loaded.offer();
  };
  timeEach(WARM_UP, finishAndOffer);
  const pairUs = timeEach(DECISIONS, finishAndOffer);
  let now = 0;
  const reviewUs = timeEach(REVIEWS, () => {
    now += MICROSECONDS;
    loaded.gate.tick(now);
  });
  const takeUs = timeEach(REVIEWS, () => {
    loaded.gate.handOver('server-1', 0, now);
  });
  return [
    length,
    roundTo(pairUs, 2),
    Math.round((2 * 1e6) / pairUs),
    roundTo(reviewUs, 1),
    roundTo(takeUs, 1),
  ];
}

/** @returns the cost of offers, finishes, reviews and takes */
export function measureGateCost(): MeasureSection {
  return {
    title: 'Sidecar: cost of a decision at the gate',
    columns: [
      'requests waiting',
      'µs each request (offer and finish)',
      'decisions a second',
      'µs each review (every 250 ms)',
      'µs each Take',
    ],
    rows: QUEUE_LENGTHS.map(measureLength),
    notes: [
      `${WORKSPACES} workspaces, ${CHATS} chats, ${DECISIONS} requests each.`,
      'A Take without room visits all queued requests and moves none.',
    ],
  };
}
