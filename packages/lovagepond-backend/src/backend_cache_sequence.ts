/**
 * Finds gaps in an engine's cache events. No I/O.
 */
import {type EngineCacheEvent} from './backend_engine_protocol.js';
import {type CacheEvent} from './backend_model_engine.js';

/** Follows the sequence numbers of one engine. */
export class CacheSequence {
  #incarnation = '';
  #last = 0;

  /** Incarnation heard of last, empty before the first. */
  get incarnation(): string {
    return this.#incarnation;
  }

  /** Sequence number heard last. */
  get last(): number {
    return this.#last;
  }

  /**
   * @param incarnation what the engine said of itself, by whatever way
   * @returns a gap when it has restarted: its cache is gone
   */
  updateIncarnation(incarnation: string): CacheEvent[] {
    if (incarnation === this.#incarnation) return [];
    const restarted = this.#incarnation !== '';
    this.#incarnation = incarnation;
    this.#last = 0;
    return restarted ? [{kind: 'gap', sequence: 0}] : [];
  }

  /**
   * @param event as the engine sent it, perhaps doubled or after lost ones
   * @returns what to tell listeners: nothing for a double, a gap before an
   *     event whose forerunner was lost
   */
  take(event: EngineCacheEvent): CacheEvent[] {
    const events = this.updateIncarnation(event.incarnation);
    if (event.sequence <= this.#last) return events;
    if (event.kind === 'position') return this.#skipTo(event.sequence);
    // A lost event may be the eviction of any chat. Without the gap, a chat
    // would count as warm for good and be sent to a server that rebuilds it.
    const lost = event.sequence > this.#last + 1;
    if (lost && events.length === 0) {
      events.push({kind: 'gap', sequence: event.sequence - 1});
    }
    this.#last = event.sequence;
    return [...events, toCacheEvent(event)];
  }

  /** The last event before a pause was lost: no later one would show it. */
  #skipTo(sequence: number): CacheEvent[] {
    this.#last = sequence;
    return [{kind: 'gap', sequence}];
  }
}

function toCacheEvent(event: EngineCacheEvent): CacheEvent {
  const {kind, sequence, workspace, chat, tokens} = event;
  const key = {workspace, chat};
  if (kind === 'stored') return {kind, sequence, key, tokens};
  return {kind: 'evicted', sequence, key};
}
