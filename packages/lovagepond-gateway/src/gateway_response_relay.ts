/**
 * Passes a server's response on to the caller as it arrives. Error responses are
 * buffered, as another attempt may follow, and partial events are held back.
 */
import {type ResponseTimes} from '@lovagepond/core';
import {type ResponseHead} from './gateway_attempt.js';
import {BufferedFailure} from './gateway_buffered_failure.js';
import {type CallerChannel} from './gateway_caller_channel.js';
import {type CurrentAttempt} from './gateway_current_attempt.js';
import {type EventStream} from './gateway_event_stream.js';
import {type ExchangeAdmission} from './gateway_exchange_admission.js';
import {type ExchangeServers} from './gateway_exchange_servers.js';
import {isServed} from './gateway_failed_attempt.js';
import {textOf} from './gateway_headers.js';

const FIRST_ERROR_STATUS = 500;

const EVENT_STREAM_TYPE = 'text/event-stream';
const NO_ENCODING = 'identity';

export interface ResponseRelayDependencies {
  readonly caller: CallerChannel;
  readonly current: CurrentAttempt;
  /** Undefined if the response is no stream of events. */
  readonly events: EventStream | undefined;
  readonly admission: Pick<ExchangeAdmission, 'noteFirstToken'>;
  readonly servers: Pick<ExchangeServers, 'bindStream'>;
  /** @param reason why the response can't be passed on any further */
  onBroken(reason: string): void;
}

export class ResponseRelay {
  readonly #deps: ResponseRelayDependencies;
  #firstAt: number | undefined;
  #hasWaited = false;
  /** The head that was passed on to the caller. */
  #passedHead: ResponseHead | undefined;

  /** @param deps the caller, the attempt, and what the response concerns */
  constructor(deps: ResponseRelayDependencies) {
    this.#deps = deps;
  }

  /**
   * @param sentAt when the request was sent to the server, monotonic ms
   * @param now current time, monotonic milliseconds
   * @returns how long the server took for its complete response; undefined if
   *     the caller has delayed it
   */
  timesSince(sentAt: number, now: number): ResponseTimes | undefined {
    if (this.#hasWaited) return undefined;
    return {
      firstMs: (this.#firstAt ?? now) - sentAt,
      totalMs: now - sentAt,
      events: this.#deps.events?.count,
    };
  }

  /** @param head the head of the attempt's response */
  passHead(head: ResponseHead): void {
    const {caller, current} = this.#deps;
    if (!current.state) return;
    const mayPass = this.#passedHead
      ? continuesStream(head, this.#passedHead)
      : head.status < FIRST_ERROR_STATUS;
    if (!mayPass) {
      current.incomingFailure = new BufferedFailure(head);
      return;
    }
    if (this.#passedHead) return;
    this.#passedHead = head;
    caller.sendHead(head);
  }

  /**
   * @param chunk bytes of the response's body
   * @param now current time, monotonic milliseconds
   * @returns false to pause reading
   */
  passData(chunk: Buffer, now: number): boolean {
    const {current, events, admission, servers} = this.#deps;
    const {state, prefill, incomingFailure} = current;
    if (!state) return true;
    prefill?.noteFirstToken(now, !incomingFailure);
    if (incomingFailure) {
      if (!incomingFailure.add(chunk)) {
        this.#deps.onBroken('error response is too large to buffer');
      }
      return true;
    }
    this.#firstAt ??= now;
    admission.noteFirstToken(now);
    if (!events || !this.#passedHead || !carriesEvents(this.#passedHead)) {
      return this.#write(chunk);
    }
    const parsed = events.take(chunk);
    if (parsed.kind === 'broken') {
      this.#deps.onBroken(parsed.reason);
      return true;
    }
    if (parsed.bytes.length === 0) return true;
    servers.bindStream(now);
    return this.#write(parsed.bytes);
  }

  #write(bytes: Buffer): boolean {
    const mayContinue = this.#deps.caller.write(bytes);
    if (!mayContinue) this.#hasWaited = true;
    return mayContinue;
  }
}

/**
 * The body of a resumed response must be the rest of the first one's. Any other
 * answer is a failure of its attempt, whatever its status.
 */
function continuesStream(head: ResponseHead, passed: ResponseHead): boolean {
  return head.status === passed.status && carriesEvents(head);
}

/** A refusal has a body of its own also on a route of streams. */
function carriesEvents(head: ResponseHead): boolean {
  const type = readToken(head, 'content-type') ?? EVENT_STREAM_TYPE;
  const encoding = readToken(head, 'content-encoding') ?? NO_ENCODING;
  const isReadable = type === EVENT_STREAM_TYPE && encoding === NO_ENCODING;
  return isServed(head.status) && isReadable;
}

/** @returns a header's value without its parameters, in lower case */
function readToken({headers}: ResponseHead, name: string): string | undefined {
  if (headers[name] === undefined) return undefined;
  return textOf(headers, name).split(';')[0]?.trim().toLowerCase();
}
