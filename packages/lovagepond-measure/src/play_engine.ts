/**
 * An engine in virtual time, as gateways meet it: it reads one prompt after the
 * other, generates for all its requests at once, keeps what it has read while
 * its memory lasts, and takes contexts over from other engines.
 */
import {type PromptPart} from '@lovagepond/gateway/deciders';
import {type PlayAccount} from './play_account.js';
import {type EngineFacts} from './play_types.js';
import {type VirtualTime} from './virtual_time.js';

/** One request at an engine. */
export interface PlayRun {
  /** Shared parts, then the request's own. */
  readonly parts: readonly PromptPart[];
  readonly events: number;
  /** 0 (lowest) to 9. */
  readonly priority: number;
  readonly source: PlayEngine | undefined;
  onFirst(): void;
  onEnd(): void;
  /** It fails or the engine ends. */
  onBroken(): void;
  /** The engine has no room for it. */
  onRefused(): void;
}

interface Waiting {
  readonly run: PlayRun;
  readonly order: number;
}

function tokensOf(run: PlayRun): number {
  return run.parts.reduce((sum, {tokens}) => sum + tokens, 0);
}

/** One engine. */
export class PlayEngine {
  readonly #facts: EngineFacts;
  readonly #time: VirtualTime;
  readonly #account: PlayAccount;
  readonly #running = new Set<PlayRun>();
  #waiting: Waiting[] = [];
  /** Shared parts by the ids of all parts up to them; the oldest use first. */
  readonly #held = new Map<string, number>();
  #heldTokens = 0;
  #runningTokens = 0;
  #readsUntil = 0;
  #isUp = true;
  #orders = 0;
  /** Part of its requests that it fails. */
  failingPart = 0;
  readonly #fails: () => number;

  /**
   * @param facts what it can do
   * @param time the play's time
   * @param account where readings are counted
   * @param draw draws from 0 to 1, for failures
   */
  constructor(
    facts: EngineFacts,
    time: VirtualTime,
    account: PlayAccount,
    draw: () => number,
  ) {
    this.#facts = facts;
    this.#time = time;
    this.#account = account;
    this.#fails = draw;
  }

  /** Requests that it processes, and those that wait. */
  get load(): {readonly running: number; readonly waiting: number} {
    return {running: this.#running.size, waiting: this.#waiting.length};
  }

  get isUp(): boolean {
    return this.#isUp;
  }

  /** @returns true when it holds this part behind all before it */
  holds(prefix: string): boolean {
    return this.#isUp && this.#held.has(prefix);
  }

  /** @param run a request that arrives now */
  start(run: PlayRun): void {
    if (!this.#isUp) {
      run.onBroken();
      return;
    }
    if (this.failingPart > 0 && this.#fails() < this.failingPart) {
      this.#time.after(this.#facts.stepMs, () => {
        run.onBroken();
      });
      return;
    }
    if (this.#waiting.length >= this.#facts.queue) {
      run.onRefused();
      return;
    }
    this.#orders += 1;
    this.#waiting.push({run, order: this.#orders});
    this.#waiting.sort(
      (left, right) =>
        right.run.priority - left.run.priority || left.order - right.order,
    );
    this.#admit();
  }

  /** It ends at once, with all that it does and holds. */
  crash(): void {
    this.#isUp = false;
    const lost = [...this.#running, ...this.#waiting.map(({run}) => run)];
    this.#running.clear();
    this.#waiting = [];
    for (const run of lost) run.onBroken();
  }

  #admit(): void {
    while (this.#running.size < this.#facts.slots) {
      const next = this.#waiting.shift();
      if (!next) return;
      this.#begin(next.run);
    }
  }

  #begin(run: PlayRun): void {
    const {readTokensPerMs, fetchTokensPerMs, firstMs} = this.#facts;
    const now = this.#time.now;
    this.#running.add(run);
    this.#runningTokens += tokensOf(run);
    const {unread, fetched} = this.#takeParts(run, now);
    const workMs = firstMs + unread / readTokensPerMs;
    this.#readsUntil = Math.max(now, this.#readsUntil) + workMs;
    const readAt = this.#readsUntil + fetched / fetchTokensPerMs;
    this.#time.at(readAt, () => {
      if (!this.#running.has(run)) return;
      this.#keep(run);
      run.onFirst();
      this.#generate(run);
    });
  }

  #takeParts(
    {parts, source}: PlayRun,
    now: number,
  ): {readonly unread: number; readonly fetched: number} {
    let prefix = '';
    let unread = parts.at(-1)?.tokens ?? 0;
    let fetched = 0;
    let isHeld = true;
    let isAtSource = source !== undefined;
    for (const {id, tokens} of parts.slice(0, -1)) {
      prefix += `/${id}`;
      isHeld &&= this.#held.has(prefix);
      isAtSource &&= source?.holds(prefix) ?? false;
      const how = isHeld ? 'held' : isAtSource ? 'fetched' : 'read';
      if (how === 'read') unread += tokens;
      if (how === 'fetched') fetched += tokens;
      this.#account.used(prefix, tokens, how, now);
    }
    return {unread, fetched};
  }

  /** What has been read stays until what is used later needs its place. */
  #keep({parts}: PlayRun): void {
    let prefix = '';
    for (const {id, tokens} of parts.slice(0, -1)) {
      prefix += `/${id}`;
      if (!this.#held.delete(prefix)) this.#heldTokens += tokens;
      this.#held.set(prefix, tokens);
    }
    const {memoryTokens} = this.#facts;
    for (const [oldest, tokens] of this.#held) {
      if (this.#heldTokens + this.#runningTokens <= memoryTokens) return;
      this.#held.delete(oldest);
      this.#heldTokens -= tokens;
    }
  }

  #generate(run: PlayRun): void {
    const {tokensPerEvent, stepMs, stepMsPerRequest} = this.#facts;
    const perToken = stepMs + stepMsPerRequest * this.#running.size;
    const lengthMs = (run.events - 1) * tokensPerEvent * perToken;
    this.#time.after(Math.max(0, lengthMs), () => {
      if (!this.#running.delete(run)) return;
      this.#runningTokens -= tokensOf(run);
      run.onEnd();
      this.#admit();
    });
  }
}

/** A server of plain calls in virtual time: slots, and a queue before them. */
export class PlayService {
  readonly #slots: number;
  readonly #queue: number;
  readonly #time: VirtualTime;
  readonly #waiting: (() => void)[] = [];
  readonly #draw: () => number;
  #running = 0;
  failingPart = 0;
  /** It works so many times as long as it should. */
  slowness = 1;
  #isUp = true;

  /**
   * @param slots calls at once
   * @param queue calls that wait
   * @param time the play's time
   * @param draw draws from 0 to 1, for failures
   */
  constructor(
    slots: number,
    queue: number,
    time: VirtualTime,
    draw: () => number,
  ) {
    this.#slots = slots;
    this.#queue = queue;
    this.#time = time;
    this.#draw = draw;
  }

  get load(): {readonly running: number; readonly waiting: number} {
    return {running: this.#running, waiting: this.#waiting.length};
  }

  /** Ends at once. */
  crash(): void {
    this.#isUp = false;
  }

  /**
   * @param workMs how long the call takes
   * @param usualFailures part of such calls that a sound server fails
   * @param onEnd called with the outcome
   */
  start(
    workMs: number,
    usualFailures: number,
    onEnd: (outcome: 'ok' | 'failed' | 'broken' | 'refused') => void,
  ): void {
    if (!this.#isUp) onEnd('broken');
    else if (this.#running < this.#slots) {
      this.#run(workMs, usualFailures, onEnd);
    } else if (this.#waiting.length < this.#queue) {
      this.#waiting.push(() => {
        this.#run(workMs, usualFailures, onEnd);
      });
    } else onEnd('refused');
  }

  #run(
    workMs: number,
    usualFailures: number,
    onEnd: (outcome: 'ok' | 'failed' | 'broken') => void,
  ): void {
    this.#running += 1;
    this.#time.after(workMs * this.slowness, () => {
      this.#running -= 1;
      this.#waiting.shift()?.();
      const part = Math.max(this.failingPart, usualFailures);
      if (!this.#isUp) onEnd('broken');
      else onEnd(this.#draw() < part ? 'failed' : 'ok');
    });
  }
}
