/**
 * Detects lost cache events of an engine by their sequence numbers. No I/O.
 */
import {type EngineCacheEvent} from './backend_engine_protocol.js';
import {type CacheEvent} from './backend_model_engine.js';

/** Tracks the sequence numbers of one engine's cache events. */
export class CacheSequence {
  #incarnation = '';
  #last = 0;

  /** The engine's last reported incarnation; empty before the first one. */
  get incarnation(): string {
    return this.#incarnation;
  }

  /** Sequence number of the last event. */
  get last(): number {
    return this.#last;
  }

  /**
   * @param incarnation the engine's incarnation, from any of its messages
   * @returns a gap when the engine has restarted and its cache is lost
   */
  updateIncarnation(incarnation: string): CacheEvent[] {
    if (incarnation === this.#incarnation) return [];
    const restarted = this.#incarnation !== '';
    this.#incarnation = incarnation;
    this.#last = 0;
    return restarted ? [{kind: 'gap', sequence: 0}] : [];
  }

  /**
   * @param event an event from the engine; may be a duplicate, or follow lost
   *     events
   * @returns the events for listeners: none for a duplicate, a gap first when
   *     events before this one were lost
   */
  take(event: EngineCacheEvent): CacheEvent[] {
    const events = this.updateIncarnation(event.incarnation);
    if (event.sequence <= this.#last) return events;
    if (event.kind === 'position') return this.#skipTo(event.sequence);
    // The lost event may be the eviction of any chat. Without the gap, that
    // chat would count as cached forever, and its requests would be sent to a
    // server that has to rebuild the context.
    const lost = event.sequence > this.#last + 1;
    if (lost && events.length === 0) {
      events.push({kind: 'gap', sequence: event.sequence - 1});
    }
    this.#last = event.sequence;
    return [...events, toCacheEvent(event)];
  }

  /** Reports a lost event that no later event follows. */
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
