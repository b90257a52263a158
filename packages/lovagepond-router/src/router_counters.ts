/**
 * A router's counters for metrics and the state dump.
 */
import {type ErrorKind} from '@lovagepond/core';
import {type StartedBody} from './router_frames.js';
import {type DropReason} from './router_request_types.js';

/** Counts since the start. */
export interface RouterCounts {
  readonly answered: number;
  readonly failedByKind: Readonly<Record<string, number>>;
  readonly droppedByReason: Readonly<Record<string, number>>;
  /** Dispatches of returning chats. */
  readonly returning: number;
  /** Dispatches of returning chats whose context was warm. */
  readonly returningWarm: number;
  /** Further attempts that are exempt from the retry budget. */
  readonly hops: number;
  /** Further attempts that were charged to the retry budget. */
  readonly retries: number;
  readonly probes: number;
}

function countUp(counts: Map<string, number>, name: string): void {
  counts.set(name, (counts.get(name) ?? 0) + 1);
}

/** Counters that only increase. */
export class RouterCounters {
  readonly #failedByKind = new Map<string, number>();
  readonly #droppedByReason = new Map<string, number>();
  #answered = 0;
  #returning = 0;
  #returningWarm = 0;
  #hops = 0;
  #retries = 0;
  #probes = 0;

  read(): RouterCounts {
    return {
      answered: this.#answered,
      failedByKind: Object.fromEntries(this.#failedByKind),
      droppedByReason: Object.fromEntries(this.#droppedByReason),
      returning: this.#returning,
      returningWarm: this.#returningWarm,
      hops: this.#hops,
      retries: this.#retries,
      probes: this.#probes,
    };
  }

  /** Counts a request that was answered completely. */
  noteAnswered(): void {
    this.#answered += 1;
  }

  /** @param kind why a request failed */
  noteFailed(kind: ErrorKind): void {
    countUp(this.#failedByKind, kind);
  }

  /** @param reason why received data was discarded */
  noteDropped(reason: DropReason): void {
    countUp(this.#droppedByReason, reason);
  }

  /**
   * @param returning true when the request continues a chat
   * @param body the sidecar's `Started` frame
   */
  noteStarted(returning: boolean, body: StartedBody): void {
    if (!returning) return;
    this.#returning += 1;
    if (body.warm) this.#returningWarm += 1;
  }

  noteHop(): void {
    this.#hops += 1;
  }

  noteRetry(): void {
    this.#retries += 1;
  }

  noteProbe(): void {
    this.#probes += 1;
  }
}
