/**
 * Passes a server's response on to the caller as it arrives. Error responses are
 * buffered, as another attempt may follow, and partial events are held back.
 */
import {type ResponseHead} from './gateway_attempt.js';
import {BufferedFailure} from './gateway_buffered_failure.js';
import {type CallerChannel} from './gateway_caller_channel.js';
import {type CurrentAttempt} from './gateway_current_attempt.js';
import {type EventStream} from './gateway_event_stream.js';

const FIRST_ERROR_STATUS = 500;

export interface RelayListener {
  /** Called for each chunk of a response that is passed on. */
  onFirstToken(now: number): void;
  /** Called before events are passed on. */
  onEvents(now: number): void;
  /** @param reason why the response can't be passed on any further */
  onBroken(reason: string): void;
}

export interface ResponseRelayDependencies {
  readonly caller: CallerChannel;
  readonly current: CurrentAttempt;
  /** Undefined if the response is no stream of events. */
  readonly events: EventStream | undefined;
  readonly listener: RelayListener;
}

export class ResponseRelay {
  readonly #deps: ResponseRelayDependencies;

  /** @param deps the caller, the attempt, and who hears of the response */
  constructor(deps: ResponseRelayDependencies) {
    this.#deps = deps;
  }

  /** @param head the head of the attempt's response */
  passHead(head: ResponseHead): void {
    const {caller, current} = this.#deps;
    if (!current.state) return;
    if (head.status >= FIRST_ERROR_STATUS) {
      current.incomingFailure = new BufferedFailure(head);
      return;
    }
    if (!caller.headSent) caller.sendHead(head);
  }

  /**
   * @param chunk bytes of the response's body
   * @param now current time, monotonic milliseconds
   * @returns false to pause reading
   */
  passData(chunk: Buffer, now: number): boolean {
    const {caller, current, events, listener} = this.#deps;
    const {state, prefill, incomingFailure} = current;
    if (!state) return true;
    prefill?.noteFirstToken(now, !incomingFailure);
    if (incomingFailure) {
      if (!incomingFailure.add(chunk)) {
        listener.onBroken('error response is too large to buffer');
      }
      return true;
    }
    listener.onFirstToken(now);
    if (!events) return caller.write(chunk);
    const parsed = events.take(chunk);
    if (parsed.kind === 'broken') {
      listener.onBroken(parsed.reason);
      return true;
    }
    if (parsed.bytes.length === 0) return true;
    listener.onEvents(now);
    return caller.write(parsed.bytes);
  }
}
