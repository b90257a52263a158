/**
 * Workload generators: seeded arrivals for both users' deployments.
 */
import {Random} from '@lovagepond/core';

/** One request of a chat. */
export interface Arrival {
  readonly id: string;
  /** Arrival time, virtual milliseconds. */
  readonly at: number;
  readonly workspace: string;
  readonly chat: string;
  readonly promptTokens: number;
  /** Leading prompt tokens that earlier turns may have left in a cache. */
  readonly contextTokens: number;
  readonly answerTokens: number;
  /** Deadline for the whole answer, milliseconds after arrival. */
  readonly deadlineMs: number;
}

/** Three of the ten workspaces send most of the traffic. */
const WORKSPACE_WEIGHTS = [40, 20, 12, 6, 5, 5, 4, 3, 3, 2] as const;
const WEIGHT_TOTAL = WORKSPACE_WEIGHTS.reduce((sum, weight) => sum + weight, 0);

/** Sizes and deadline of one kind of chat. */
interface ChatKind {
  readonly prefix: string;
  readonly firstContext: () => number;
  readonly inputTokens: number;
  readonly answerTokens: number;
  readonly deadlineMs: number;
}

/** Generates the turns of chats; the context grows with each turn. */
class ChatGenerator {
  readonly arrivals: Arrival[] = [];
  readonly random: Random;

  constructor(seed: number) {
    this.random = new Random(seed);
  }

  pickWorkspace(): string {
    let draw = this.random.next() * WEIGHT_TOTAL;
    let index = 0;
    for (const weight of WORKSPACE_WEIGHTS) {
      if (draw < weight) break;
      draw -= weight;
      index++;
    }
    return `workspace-${index}`;
  }

  /**
   * @param kind the kind of chat
   * @param workspace its workspace
   * @param number identifies the chat within its kind
   * @param times virtual time of each turn
   */
  addChat(
    kind: ChatKind,
    workspace: string,
    number: number,
    times: readonly number[],
  ): void {
    const chat = `${kind.prefix}-${number}`;
    const {inputTokens, deadlineMs} = kind;
    let context = kind.firstContext();
    times.forEach((at, turn) => {
      const answerTokens = Math.max(
        8,
        Math.round(kind.answerTokens * (0.5 + this.random.next())),
      );
      const promptTokens = context + inputTokens;
      const contextTokens = turn === 0 ? 0 : context;
      const id = `${chat}.${turn}`;
      const sizes = {promptTokens, contextTokens, answerTokens, deadlineMs};
      this.arrivals.push({id, at, workspace, chat, ...sizes});
      context = promptTokens + answerTokens;
    });
  }

  finish(endMs: number): Arrival[] {
    const within = this.arrivals.filter(({at}) => at < endMs);
    return within.sort((a, b) => a.at - b.at);
  }
}

function turnTimes(
  random: Random,
  startAt: number,
  turns: number,
  leastPauseMs: number,
  meanPauseMs: number,
): number[] {
  const times = [startAt];
  for (let turn = 1; turn < turns; turn++) {
    const pause = leastPauseMs + random.exponential(meanPauseMs);
    times.push((times.at(-1) ?? 0) + pause);
  }
  return times;
}

/** Adds chats that start as a Poisson process. */
function addSteadyChats(
  generator: ChatGenerator,
  kind: ChatKind,
  options: {endMs: number; perSecond: number; turns: number; pauseMs: number},
): void {
  const {random} = generator;
  let at = random.exponential(1000 / options.perSecond);
  for (let number = 0; at < options.endMs; number++) {
    const times = turnTimes(random, at, options.turns, 3_000, options.pauseMs);
    generator.addChat(kind, generator.pickWorkspace(), number, times);
    at += random.exponential(1000 / options.perSecond);
  }
}

/** Duration and scale of a workload. */
export interface WorkloadSize {
  readonly endMs: number;
  /** Multiple of the load of a deployment of six engines. */
  readonly scale: number;
}

const RESUME_PERIOD_MS = 60_000;
/** Kiosks are switched on one by one during the first period. */
const SWITCH_ON_MS = 50_000;
const KIOSKS = 2_000;
const RESUME_PROBABILITY = 0.8;
const RESUME_DELAY_MS = 1_500;
const KIOSK_TURNS_BEFORE_RESET = 8;

/** Adds one kiosk's turns; the kiosk starts a new chat after some turns. */
function addKiosk(
  generator: ChatGenerator,
  kiosk: number,
  endMs: number,
): void {
  const {random} = generator;
  const kind = {
    prefix: `kiosk-${kiosk}`,
    firstContext: () => 300 + random.below(500),
    inputTokens: 20,
    answerTokens: 40,
    deadlineMs: 20_000,
  };
  const workspace = generator.pickWorkspace();
  const offset = random.below(KIOSK_TURNS_BEFORE_RESET);
  const chats = new Map<number, number[]>();
  chats.set(0, [random.next() * SWITCH_ON_MS]);
  for (let period = 1; period * RESUME_PERIOD_MS < endMs; period++) {
    if (random.next() >= RESUME_PROBABILITY) continue;
    const chat = Math.floor((period + offset) / KIOSK_TURNS_BEFORE_RESET);
    const times = chats.get(chat) ?? [];
    const delayMs = random.exponential(RESUME_DELAY_MS);
    times.push(period * RESUME_PERIOD_MS + delayMs);
    chats.set(chat, times);
  }
  for (const [chat, times] of chats) {
    generator.addChat(kind, workspace, chat, times);
  }
}

/**
 * Kiosks that resume hourly, an hour shortened to a minute: thousands of them
 * continue their chats within seconds, beside a steady rate of shoppers.
 *
 * @param size duration and scale
 * @param seed random seed
 * @returns the arrivals by time
 */
export function makeKioskArrivals(size: WorkloadSize, seed: number): Arrival[] {
  const generator = new ChatGenerator(seed);
  const {random} = generator;
  for (let kiosk = 0; kiosk < KIOSKS * size.scale; kiosk++) {
    addKiosk(generator, kiosk, size.endMs);
  }
  const shopper = {
    prefix: 'shopper',
    firstContext: () => 200 + random.below(400),
    inputTokens: 40,
    answerTokens: 80,
    deadlineMs: 20_000,
  };
  const perSecond = 3 * size.scale;
  const {endMs} = size;
  const options = {endMs, perSecond, turns: 4, pauseMs: 20_000};
  addSteadyChats(generator, shopper, options);
  return generator.finish(endMs);
}

const STORM_PERIOD_MS = 150_000;
const FIRST_STORM_MS = 20_000;
const STORM_CHATS = 80;
const STORM_START_DELAY_MS = 10_000;
const REPORT_TURNS = 6;

/**
 * Storms: many long report chats start together and return within seconds to
 * minutes, beside a low steady rate of such chats.
 *
 * @param size duration and scale
 * @param seed random seed
 * @returns the arrivals by time
 */
export function makeStormArrivals(size: WorkloadSize, seed: number): Arrival[] {
  const generator = new ChatGenerator(seed);
  const {random} = generator;
  const report = {
    prefix: 'report',
    firstContext: () => 6_000 + random.below(10_000),
    inputTokens: 400,
    answerTokens: 300,
    deadlineMs: 30_000,
  };
  let number = 0;
  const {endMs} = size;
  for (let at = FIRST_STORM_MS; at < endMs; at += STORM_PERIOD_MS) {
    for (let chat = 0; chat < STORM_CHATS * size.scale; chat++) {
      const start = at + random.exponential(STORM_START_DELAY_MS);
      const times = turnTimes(random, start, REPORT_TURNS, 6_000, 10_000);
      generator.addChat(report, generator.pickWorkspace(), number++, times);
    }
  }
  const inspector = {...report, prefix: 'inspector'};
  const perSecond = 0.2 * size.scale;
  const options = {endMs, perSecond, turns: 6, pauseMs: 20_000};
  addSteadyChats(generator, inspector, options);
  return generator.finish(endMs);
}
