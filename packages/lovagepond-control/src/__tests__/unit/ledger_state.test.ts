import * as fc from 'fast-check';
import {expect, test} from 'vitest';
import {type CallOutcome, type ClaimPayload} from '../../control_commands.js';
import {type ClaimResult, LedgerState} from '../../ledger_state.js';

const LIMITS = {
  answerRetentionMs: 1_000,
  keyRetentionMs: 1_000_000,
  openClaimLimitMs: 500,
  ledgerLimit: 100,
  answerCharactersLimit: 6,
};
const SEED = 20_261;

type Message =
  | {kind: 'claim'; claim: ClaimPayload}
  | {kind: 'record'; claim: ClaimPayload; outcome: CallOutcome}
  | {kind: 'announce'; server: string; incarnation: string};

/** An attempt in its sidecar's memory, which is lost when it restarts. */
interface Attempt {
  readonly claim: ClaimPayload;
  state: 'claiming' | 'dispatched' | 'ended';
}

/** Sidecars, the network and the service around two replicas of the ledger. */
class Simulation {
  ledger = new LedgerState(() => LIMITS);
  replica = new LedgerState(() => LIMITS);
  timeMs = 0;
  attempts: Attempt[] = [];
  network: Message[] = [];
  readonly runs = new Map<string, number>();
  readonly incarnations = [1, 1];
  #nextAttempt = 0;

  start(n: number): void {
    const server = n % 2;
    const claim: ClaimPayload = {
      workspace: 'w',
      key: `key${(n >> 1) % 2}`,
      digest: 'd',
      server: `server${server}`,
      incarnation: `i${this.incarnations[server]}`,
      attempt: `a${this.#nextAttempt++}`,
    };
    this.attempts.push({claim, state: 'claiming'});
    this.network.push({kind: 'claim', claim});
  }

  /** Applies a claim's result: a granted call runs at once, and ends later. */
  answer(claim: ClaimPayload, result: ClaimResult): void {
    const attempt = this.attempts.find(a => a.claim === claim);
    if (attempt?.state !== 'claiming') return;
    attempt.state = result.kind === 'granted' ? 'dispatched' : 'ended';
    if (attempt.state === 'ended') return;
    const runs = (this.runs.get(claim.key) ?? 0) + 1;
    this.runs.set(claim.key, runs);
    expect(runs).toBe(1);
  }

  end(n: number): void {
    const attempt = this.attempts[n % this.attempts.length];
    if (!attempt || attempt.state === 'ended') return;
    const outcome = attempt.state === 'claiming' ? 'notRun' : 'ran';
    attempt.state = 'ended';
    this.network.push({kind: 'record', claim: attempt.claim, outcome});
  }

  crash(n: number): void {
    const server = n % 2;
    this.incarnations[server]! += 1;
    const name = `server${server}`;
    this.attempts = this.attempts.filter(a => a.claim.server !== name);
    const incarnation = `i${this.incarnations[server]}`;
    this.network.push({kind: 'announce', server: name, incarnation});
  }

  /** Delivers a message; for odd `n` it stays queued and is delivered again. */
  deliver(n: number, answerLost: boolean): void {
    const index = (n >> 1) % Math.max(1, this.network.length);
    const message = this.network[index];
    if (!message) return;
    if (n % 2 === 0) this.network.splice(index, 1);
    const result = this.#apply(this.ledger, message);
    expect(this.#apply(this.replica, message)).toEqual(result);
    if (message.kind !== 'claim' || answerLost) return;
    this.answer(message.claim, result as ClaimResult);
  }

  #apply(ledger: LedgerState, message: Message): unknown {
    if (message.kind === 'claim') {
      return ledger.claim(message.claim, this.timeMs);
    }
    if (message.kind === 'announce') {
      return ledger.registerIncarnation(message, this.timeMs);
    }
    const {workspace, key, attempt} = message.claim;
    const answer = {status: 200, answer: 'YQ==', contentType: 't'};
    const {outcome} = message;
    const record = {workspace, key, attempt, outcome, ...answer};
    return ledger.record(record, this.timeMs);
  }
}

const STEPS: Record<string, (simulation: Simulation, n: number) => void> = {
  start: (simulation, n) => simulation.start(n),
  deliver: (simulation, n) => simulation.deliver(n, false),
  deliverAgain: (simulation, n) => simulation.deliver(n, false),
  loseAnswer: (simulation, n) => simulation.deliver(n, true),
  end: (simulation, n) => simulation.end(n),
  crash: (simulation, n) => simulation.crash(n),
  wait: (simulation, n) => (simulation.timeMs += n * 10),
  restart: simulation => {
    simulation.replica = new LedgerState(() => LIMITS);
    const head = JSON.stringify(simulation.ledger.snapshot());
    const lines = Buffer.concat(simulation.ledger.encodeEntries());
    simulation.replica.restore(JSON.parse(head), lines);
    expect(Buffer.concat(simulation.replica.encodeEntries())).toEqual(lines);
  },
};

class Step implements fc.Command<object, Simulation> {
  constructor(
    readonly kind: string,
    readonly n: number,
  ) {}

  check(): boolean {
    return true;
  }

  run(_model: object, simulation: Simulation): void {
    STEPS[this.kind]!(simulation, this.n);
  }

  toString(): string {
    return `${this.kind}(${this.n})`;
  }
}

// Guards against a call that runs twice, and against members whose ledgers
// diverge. Callers repeat two calls through two sidecars, while claims and
// records are lost, duplicated and delayed, sidecars give up or crash between
// any two steps, claims expire, and a member restarts from its snapshot.
test('no call is dispatched twice', () => {
  const steps = Object.keys(STEPS).map(kind =>
    fc.nat(63).map(n => new Step(kind, n)),
  );
  fc.assert(
    fc.property(
      fc.commands(steps, {maxCommands: 120, size: 'max'}),
      commands => {
        fc.modelRun(() => ({model: {}, real: new Simulation()}), commands);
      },
    ),
    {seed: SEED, numRuns: 1_500},
  );
});

const CLAIM: ClaimPayload = {
  workspace: 'w',
  key: 'k',
  digest: 'd',
  server: 's',
  incarnation: 'i1',
  attempt: 'a1',
};
const REPEAT = {...CLAIM, attempt: 'a2'};
const RECORD = {
  workspace: 'w',
  key: 'k',
  attempt: 'a1',
  outcome: 'ran',
  status: 200,
  answer: 'YQ==',
  contentType: 'text/plain',
} as const;

test('a repeat gets the answer for each state of the call', () => {
  const ledger = new LedgerState(() => LIMITS);
  expect(ledger.claim(CLAIM, 0)).toEqual({kind: 'granted'});
  expect(ledger.claim(CLAIM, 0)).toEqual({kind: 'granted'});
  expect(ledger.claim(REPEAT, 1)).toEqual({kind: 'inProgress'});
  expect(ledger.claim({...REPEAT, digest: 'x'}, 1).kind).toBe('keyReuse');
  expect(ledger.record(RECORD, 2)).toEqual({recorded: true});
  expect(ledger.record(RECORD, 3)).toEqual({recorded: true});
  expect(ledger.claim(REPEAT, 4)).toMatchObject({
    kind: 'recorded',
    answer: 'YQ==',
  });
  expect(ledger.claim(REPEAT, 1_002).kind).toBe('answerNotKept');
  expect(ledger.claim(REPEAT, 1_000_002).kind).toBe('granted');
});

// Guards against a claim that reaches the leader after its sidecar gave up and
// recorded "notRun". Granted, it would stay open although no sidecar dispatches
// the call, and every repeat would get "inProgress" until it expires.
test('a claim that arrives after its sidecar gave up is not granted', () => {
  const ledger = new LedgerState(() => LIMITS);
  ledger.record({...RECORD, outcome: 'notRun'}, 0);
  expect(ledger.claim(CLAIM, 1)).toEqual({kind: 'revoked'});
  expect(ledger.claim(REPEAT, 2)).toEqual({kind: 'granted'});
});

// Guards against a second dispatch after a sidecar restarts. Its previous
// incarnation may have dispatched the call, so a repeat gets "outcomeUnknown".
// Late messages of that incarnation then arrive: its announcement, a claim, and
// the record of a call that ran.
test('a restarted sidecar makes its earlier claims unknown permanently', () => {
  const ledger = new LedgerState(() => LIMITS);
  const first = {server: 's', incarnation: 'i1'};
  ledger.registerIncarnation(first, 0);
  ledger.claim(CLAIM, 0);
  const second = {server: 's', incarnation: 'i2'};
  expect(ledger.registerIncarnation(second, 1).settled).toBe(1);
  expect(ledger.claim(REPEAT, 2)).toEqual({kind: 'outcomeUnknown'});
  expect(ledger.registerIncarnation(first, 3).accepted).toBe(false);
  const late = {...CLAIM, key: 'k2', attempt: 'a3'};
  expect(ledger.claim(late, 3)).toEqual({kind: 'wrongIncarnation'});
  const notRun = {...RECORD, outcome: 'notRun'} as const;
  expect(ledger.record(notRun, 4).recorded).toBe(false);
  expect(ledger.claim(REPEAT, 5)).toEqual({kind: 'outcomeUnknown'});
  expect(ledger.record(RECORD, 6)).toEqual({recorded: true});
  expect(ledger.claim(REPEAT, 7).kind).toBe('recorded');
});

// Guards against the late announcement of a superseded incarnation, hours after
// the sidecar's last registration.
test('an incarnation stays superseded after its keys have expired', () => {
  const ledger = new LedgerState(() => LIMITS);
  ledger.registerIncarnation({server: 's', incarnation: 'i1'}, 0);
  ledger.registerIncarnation({server: 's', incarnation: 'i2'}, 0);
  const later = 2 * LIMITS.keyRetentionMs;
  const late = ledger.registerIncarnation(
    {server: 's', incarnation: 'i1'},
    later,
  );
  expect(late.accepted).toBe(false);
  expect(ledger.currentIncarnation('s')).toBe('i2');
});

test('the oldest answers are evicted when all are too large together', () => {
  const ledger = new LedgerState(() => LIMITS);
  for (const n of [1, 2, 3]) {
    const call = {key: `k${n}`, attempt: `a${n}`};
    ledger.claim({...CLAIM, ...call}, n);
    ledger.record({...RECORD, ...call}, n);
  }
  const kinds = [1, 2, 3].map(n => {
    const repeat = {...CLAIM, key: `k${n}`, attempt: 'b'};
    return ledger.claim(repeat, 4).kind;
  });
  expect(kinds).toEqual(['answerNotKept', 'answerNotKept', 'recorded']);
});

test('a full ledger refuses new keys and still answers existing ones', () => {
  const ledger = new LedgerState(() => ({...LIMITS, ledgerLimit: 1}));
  ledger.claim(CLAIM, 0);
  const other = {...CLAIM, key: 'k2', attempt: 'a3'};
  expect(ledger.claim(other, 0).kind).toBe('ledgerUnavailable');
  expect(ledger.claim(REPEAT, 0).kind).toBe('inProgress');
});
