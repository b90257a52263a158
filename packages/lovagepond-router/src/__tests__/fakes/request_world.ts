/**
 * Simulates one request's state machine and its sidecars. The network loses and
 * delays messages and silences connections; a test drives it step by step.
 */
import {type FrameBody} from '../../router_frames.js';
import {RequestMachine} from '../../router_request.js';
import {
  type Attempt,
  type RequestAction,
  type RequestEvent,
} from '../../router_request_types.js';

export const LIMITS = {
  maxAttempts: 3,
  maxHops: 4,
  maxReattaches: 2,
  attemptSilentAfterMs: 3_500,
  firstFrameAfterMs: 1_000,
  revokeLeadMs: 50,
};

export const DEADLINE = 20_000;

/** Each dispatch gives a different answer, like two generations of a model. */
export function textOf(dispatch: number): string {
  return `answer ${dispatch} in full`;
}

type AttemptState = 'held' | 'dispatched' | 'notRun';

interface HeldAttempt {
  state: AttemptState;
  dispatch: number;
  /** The stream that carries the attempt's frames; -1 when it is lost. */
  stream: number;
  sent: number;
}

class WorldSidecar {
  generation = 0;
  attempts = new Map<string, HeldAttempt>();
  readonly name: string;

  constructor(name: string) {
    this.name = name;
  }

  get incarnation(): string {
    return `${this.name}.${this.generation}`;
  }
}

/** A message in transit, with the callback for its arrival. */
interface Message {
  readonly stream: number;
  readonly arrive: () => void;
}

export class RequestWorld {
  readonly machine: RequestMachine;
  now = 0;
  text = '';
  finals: RequestAction[] = [];
  dispatches = 0;
  readonly #sidecars = ['a', 'b', 'c'].map(name => new WorldSidecar(name));
  #inTransit: Message[] = [];
  #streams = 0;
  #openStream = -1;

  constructor(nonRepeatable: boolean) {
    this.machine = new RequestMachine(
      {requestId: 'r', nonRepeatable, deadline: DEADLINE},
      LIMITS,
    );
    this.#perform(this.machine.start());
  }

  /** Performs one random step; faults are rarer than progress. */
  step(choice: number, detail: number): void {
    if (choice < 14) this.#deliver(detail);
    else if (choice < 24) this.#progress(detail);
    else if (choice < 26) this.#loseStream(detail % 2 === 0);
    else if (choice < 27) this.#refuse(detail);
    else if (choice < 28) this.#restart(detail);
    else this.advance(detail % 3 === 0 ? 1_100 : 200);
  }

  advance(byMs: number): void {
    this.now += byMs;
    this.#notify({kind: 'tick'});
  }

  /** Makes progress without faults, so that the answer can complete. */
  runWithoutFaults(): void {
    for (let round = 0; round < 80; round += 1) {
      this.#deliver(round);
      this.#progress(round);
      this.advance(20);
    }
  }

  /** Passes the deadline, then delivers all messages still in transit. */
  settle(): void {
    while (this.now <= DEADLINE) this.advance(500);
    for (let round = 0; round < 30; round += 1) {
      while (this.#inTransit.length > 0) this.#deliver(0);
      for (let detail = 0; detail < 3; detail += 1) this.#progress(detail);
    }
  }

  #notify(event: RequestEvent): void {
    this.#perform(this.machine.receive(event, this.now));
  }

  #perform(actions: readonly RequestAction[]): void {
    for (const action of actions) this.#do(action);
  }

  #do(action: RequestAction): void {
    if (action.kind === 'place') this.#place(action);
    if (action.kind === 'offer') this.#offer(action);
    if (action.kind === 'revoke') this.#revoke(action.attempt, true);
    if (action.kind === 'close') {
      this.#openStream = -1;
      if (action.abandoned) this.#revoke(action.attempt, false);
    }
    if (action.kind === 'write') this.text += Buffer.from(action.data);
    if (action.kind === 'end' || action.kind === 'fail') {
      this.finals.push(action);
    }
  }

  #place(action: Extract<RequestAction, {kind: 'place'}>): void {
    const free = this.#sidecars.filter(({name}) => !action.excluded.has(name));
    const preferred = free.find(({name}) => name === action.preferred);
    const sidecar = preferred ?? free[0];
    if (!sidecar) {
      const failure = {
        kind: 'overloaded',
        message: '',
        retryAfterMs: 1,
      } as const;
      this.#notify({kind: 'notPlaced', failure: action.after ?? failure});
      return;
    }
    const {name, incarnation} = sidecar;
    const target = {backendServer: name, incarnation, address: name};
    this.#notify({kind: 'placed', target, nonRepeatable: false});
  }

  #find(attempt: Attempt): WorldSidecar {
    const {backendServer} = attempt.target;
    return this.#sidecars.find(({name}) => name === backendServer)!;
  }

  #offer(action: Extract<RequestAction, {kind: 'offer'}>): void {
    const {attempt, resumeFrom} = action;
    const stream = ++this.#streams;
    this.#openStream = stream;
    this.#notify({kind: 'sent', attemptId: attempt.attemptId});
    const arrive = (): void => this.#onAttempt(attempt, stream, resumeFrom);
    this.#inTransit.push({stream, arrive});
  }

  #onAttempt(attempt: Attempt, stream: number, resumeFrom: number): void {
    const sidecar = this.#find(attempt);
    const {attemptId, target} = attempt;
    const refuse = (errorKind: 'revoked' | 'wrongIncarnation'): void =>
      this.#send(sidecar, attemptId, stream, refusal(errorKind));
    if (target.incarnation !== sidecar.incarnation) {
      refuse('wrongIncarnation');
      return;
    }
    const known = sidecar.attempts.get(attemptId);
    if (known?.state === 'notRun') refuse('revoked');
    else if (known) Object.assign(known, {stream, sent: resumeFrom});
    else {
      const held = {state: 'held' as const, dispatch: 0, stream, sent: 0};
      sidecar.attempts.set(attemptId, held);
      const body = {kind: 'accepted', expectedWaitMs: 0} as const;
      this.#send(sidecar, attemptId, stream, body);
    }
  }

  #revoke(attempt: Attempt, expectsResponse: boolean): void {
    const {attemptId, target} = attempt;
    const stream = ++this.#streams;
    const answer = (outcome: 'revoked' | 'dispatched' | 'unknown'): void => {
      const arrive = (): void =>
        this.#notify({kind: 'revoked', attemptId, outcome});
      if (expectsResponse) this.#inTransit.push({stream, arrive});
    };
    const arrive = (): void => {
      const sidecar = this.#find(attempt);
      if (sidecar.incarnation !== target.incarnation) {
        answer('unknown');
        return;
      }
      const known = sidecar.attempts.get(attemptId);
      if (known?.state === 'dispatched') {
        answer('dispatched');
        return;
      }
      const notRun = {
        state: 'notRun' as const,
        dispatch: 0,
        stream: -1,
        sent: 0,
      };
      sidecar.attempts.set(attemptId, notRun);
      answer('revoked');
    };
    this.#inTransit.push({stream, arrive});
  }

  #send(
    sidecar: WorldSidecar,
    attemptId: string,
    stream: number,
    body: FrameBody,
  ): void {
    const {incarnation} = sidecar;
    const load = {revision: 1, runningTokens: 0, queuedTokens: 0};
    const frame = {attemptId, incarnation, body, ...load};
    const arrive = (): void => {
      // Frames of a stream that the router has replaced still arrive.
      this.#notify({kind: 'frame', frame});
    };
    this.#inTransit.push({stream, arrive});
  }

  /** Delivers one message; the order is kept only within a stream. */
  #deliver(detail: number): void {
    const streams = [...new Set(this.#inTransit.map(({stream}) => stream))];
    const stream = streams[detail % Math.max(1, streams.length)];
    const index = this.#inTransit.findIndex(item => item.stream === stream);
    const [message] = index < 0 ? [] : this.#inTransit.splice(index, 1);
    message?.arrive();
  }

  /** A sidecar dispatches a queued attempt or sends an attempt's next frame. */
  #progress(detail: number): void {
    const open = this.#sidecars.flatMap(sidecar =>
      [...sidecar.attempts]
        .filter(([, {state}]) => state !== 'notRun')
        .map(([id, held]) => ({sidecar, id, held})),
    );
    const chosen = open[detail % Math.max(1, open.length)];
    if (!chosen) return;
    const {sidecar, id, held} = chosen;
    if (held.state === 'held') {
      this.dispatches += 1;
      Object.assign(held, {state: 'dispatched', dispatch: this.dispatches});
      const body = {kind: 'started', warm: true, cachedTokens: 0} as const;
      this.#send(sidecar, id, held.stream, body);
      return;
    }
    this.#send(sidecar, id, held.stream, nextPiece(held, 1 + (detail % 9)));
  }

  /** Loses the open stream and its messages, with or without detection. */
  #loseStream(detected: boolean): void {
    const stream = this.#openStream;
    if (stream < 0) return;
    const {attempt} = this.machine;
    this.#inTransit = this.#inTransit.filter(item => item.stream !== stream);
    for (const {attempts} of this.#sidecars) {
      for (const held of attempts.values()) {
        if (held.stream === stream) held.stream = -1;
      }
    }
    if (!detected || !attempt) return;
    this.#notify({kind: 'broken', attemptId: attempt.attemptId});
  }

  #refuse(detail: number): void {
    for (const sidecar of this.#sidecars) {
      for (const [id, held] of sidecar.attempts) {
        if (held.state !== 'held') continue;
        held.state = 'notRun';
        const kinds = ['handedOver', 'draining', 'overloaded'] as const;
        const body = refusal(kinds[detail % kinds.length]!);
        this.#send(sidecar, id, held.stream, body);
        return;
      }
    }
  }

  /** Restarts a sidecar, which loses its attempts; dispatches still count. */
  #restart(detail: number): void {
    const sidecar = this.#sidecars[detail % this.#sidecars.length]!;
    sidecar.generation += 1;
    sidecar.attempts = new Map();
  }
}

type RefusalKind =
  'revoked' | 'wrongIncarnation' | 'handedOver' | 'draining' | 'overloaded';

function refusal(errorKind: RefusalKind): FrameBody {
  return {
    kind: 'refused',
    errorKind,
    message: '',
    retryAfterMs: 0,
    pointer: errorKind === 'handedOver' ? 'b' : '',
    configuration: new Uint8Array(),
  };
}

function nextPiece(held: HeldAttempt, length: number): FrameBody {
  const whole = Buffer.from(textOf(held.dispatch));
  const head = {status: 200, contentType: 'text/event-stream'};
  if (held.sent >= whole.length) {
    return {kind: 'end', totalBytes: whole.length, ...head};
  }
  const offset = held.sent;
  const data = whole.subarray(offset, offset + length);
  held.sent += data.length;
  return {kind: 'chunk', offset, data, ...head};
}
