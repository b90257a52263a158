import {
  CRASH_RULES,
  type Command,
  type ConfigurationContent,
} from '@lovagepond/core';
import {expect, test} from 'vitest';
import {type OrderRequest} from '../../control_administration.js';
import {
  CHANGE_COMMAND,
  type ChangePayload,
  CLAIM_COMMAND,
  type ClaimPayload,
  CRASHES_COMMAND,
  type CrashesPayload,
  type CrashesResult,
  decodeResult,
  encodeCommand,
  EVACUATION_COMMAND,
  LIFT_QUARANTINE_COMMAND,
  LIMITS_COMMAND,
  ORDER_COMMAND,
  ORDER_OUTCOME_COMMAND,
  WANTED_STATE_COMMAND,
} from '../../control_commands.js';
import {CONTROL_DEFAULTS} from '../../control_settings.js';
import {ControlStateMachine} from '../../control_state_machine.js';

const LIMITS = {
  historyLimit: 3,
  answerRetentionMs: 1_000,
  keyRetentionMs: 2_000,
  openClaimLimitMs: 500,
  ledgerLimit: 100,
  answerCharactersLimit: 1_000,
};

/** A member that applies commands stamped by leaders of several terms. */
class Member {
  now = 0;
  machine = new ControlStateMachine(CONTROL_DEFAULTS, () => this.now);
  #index = 0;

  constructor() {
    this.run(LIMITS_COMMAND, LIMITS);
  }

  run<Payload>(command: Command<Payload>, payload: Payload, term = 1): unknown {
    const timeMs = this.machine.time.stamp(this.now);
    const stamp = {timeMs, wallTimeMs: 1_000 + timeMs, term};
    const bytes = encodeCommand(command, payload, stamp);
    return decodeResult(this.machine.apply(bytes, ++this.#index));
  }

  /** @returns a member restored from a snapshot, as after a restart */
  copy(): Member {
    const member = new Member();
    member.machine = new ControlStateMachine(
      CONTROL_DEFAULTS,
      () => member.now,
    );
    member.now = 5_000_000;
    member.machine.restore(this.machine.snapshot());
    return member;
  }
}

function content(...names: string[]): ConfigurationContent {
  const workspaces = names.map(name => ({
    name,
    weight: 1,
    priority: 5,
    maxQueuedTokens: 0,
  }));
  return {pools: [], selectors: [], workspaces, requestKinds: []};
}

function replace(
  operationId: string,
  baseRevision: number,
  ...names: string[]
): ChangePayload {
  const edit = {kind: 'replace', content: content(...names)} as const;
  return {operationId, digest: names.join(), baseRevision, edit};
}

// Guards against lost updates when two operators change the same base revision.
// The first change in the log is accepted. The other one results in a conflict,
// with the differences, and isn't applied.
test('of concurrent changes one is accepted and the other conflicts', () => {
  const member = new Member();
  const {configuration} = member.machine;
  expect(member.run(CHANGE_COMMAND, replace('a', 0, 'x'))).toEqual({
    kind: 'accepted',
    revision: 1,
  });
  expect(member.run(CHANGE_COMMAND, replace('b', 0, 'y'))).toEqual({
    kind: 'conflict',
    baseRevision: 0,
    currentRevision: 1,
  });
  expect(configuration.current.read().content).toEqual(content('x'));
  const [difference] = configuration.differences(0, 1);
  expect(difference).toMatchObject({place: 'workspaces/x', kind: 'added'});
});

// Guards against a retry being applied twice or getting a new answer. The first
// answer was lost, other changes followed, and the new leader has the first
// answer only from a snapshot.
test('a retried change gets its first answer from a new leader', () => {
  const member = new Member();
  member.run(CHANGE_COMMAND, replace('a', 0, 'x'));
  member.run(CHANGE_COMMAND, replace('b', 0, 'y'));
  member.run(CHANGE_COMMAND, replace('c', 1, 'z'));
  const next = member.copy();
  const again = next.run(CHANGE_COMMAND, replace('a', 0, 'x'), 2);
  expect(again).toEqual({kind: 'accepted', revision: 1});
  const lost = next.run(CHANGE_COMMAND, replace('b', 0, 'y'), 2);
  expect(lost).toMatchObject({kind: 'conflict', currentRevision: 1});
  const other = next.run(CHANGE_COMMAND, replace('a', 2, 'q'), 2);
  expect(other).toEqual({kind: 'operationReuse'});
  expect(next.machine.configuration.current.read().revision).toBe(2);
});

test('a retained revision can be restored as a new one', () => {
  const member = new Member();
  ['v', 'w', 'x', 'y'].forEach((name, base) => {
    member.run(CHANGE_COMMAND, replace(name, base, name));
  });
  const restore = (operationId: string, revision: number): unknown =>
    member.run(CHANGE_COMMAND, {
      operationId,
      digest: '',
      baseRevision: 4,
      edit: {kind: 'restore', revision},
    });
  expect(restore('r1', 1)).toEqual({kind: 'missing', place: 'revision 1'});
  expect(restore('r2', 2)).toEqual({kind: 'accepted', revision: 5});
  const {configuration} = member.machine;
  expect(configuration.current.read().content).toEqual(content('w'));
  expect(configuration.history().map(entry => entry.restorable)).toEqual([
    ...[true, true, true],
    ...[false, false],
  ]);
});

// Guards against a late retry of a drain that arrives after the server was
// resumed and would drain it again.
test('a retried drain after a resume has no effect', () => {
  const member = new Member();
  const drain = {operationId: 'a', digest: '1', server: 's'};
  member.run(WANTED_STATE_COMMAND, {...drain, wantedState: 'draining'});
  const resume = {operationId: 'b', digest: '2', server: 's'};
  member.run(WANTED_STATE_COMMAND, {...resume, wantedState: 'ready'});
  member.run(WANTED_STATE_COMMAND, {...drain, wantedState: 'draining'});
  expect(member.machine.wanted.get('s')).toBe('ready');
});

const ORDER: OrderRequest = {
  orderId: 'o1',
  backendServer: 's',
  action: 'loadModel',
  arguments: {model: 'm'},
};

test('fencing tokens increase over terms, and an order is issued once', () => {
  const member = new Member();
  const token = (orderId: string, term: number): number => {
    const result = member.run(ORDER_COMMAND, {...ORDER, orderId}, term);
    return (result as {fencingToken: number}).fencingToken;
  };
  const first = token('o1', 3);
  expect(first).toBe(3 * 2 ** 20);
  expect(token('o2', 3)).toBe(first + 1);
  expect(token('o1', 9)).toBe(first);
  const later = token('o3', 4);
  expect(later).toBe(4 * 2 ** 20);
  expect(member.run(ORDER_COMMAND, {...ORDER, backendServer: 't'})).toEqual({
    kind: 'operationReuse',
  });
  const report = {
    orderId: 'o3',
    fencingToken: later,
    backendServer: 's',
    outcome: 'done',
    message: '',
  } as const;
  const stale = {...report, fencingToken: first};
  expect(member.run(ORDER_OUTCOME_COMMAND, stale)).toEqual({recorded: false});
  expect(member.run(ORDER_OUTCOME_COMMAND, report)).toEqual({recorded: true});
  const {orders} = member.copy().machine;
  expect(orders.floorOf('s')).toBe(later);
  expect([...orders.waiting()].map(order => order.orderId)).toEqual([
    ...['o1', 'o2'],
  ]);
});

const CLAIM: ClaimPayload = {
  workspace: 'w',
  key: 'k',
  digest: 'd',
  server: 's',
  incarnation: 'i',
  attempt: 'a',
};

// Guards against a new leader whose clock is far ahead. If commands were
// stamped with its clock, every key would expire at once and its call could run
// again.
test('replicated time continues over leaders, whatever their clocks', () => {
  const member = new Member();
  member.run(CLAIM_COMMAND, CLAIM);
  member.now = 300;
  member.run(CLAIM_COMMAND, {...CLAIM, key: 'other'});
  const next = member.copy();
  const repeat = {...CLAIM, attempt: 'b'};
  expect(next.run(CLAIM_COMMAND, repeat, 2)).toEqual({kind: 'inProgress'});
  next.now += 199;
  expect(next.run(CLAIM_COMMAND, repeat, 2)).toEqual({kind: 'inProgress'});
  next.now += 1;
  expect(next.run(CLAIM_COMMAND, repeat, 2)).toEqual({kind: 'outcomeUnknown'});
});

// Guards against a quarantine that is lost when all hosts restart.
test('crash counts survive snapshots until the quarantine is lifted', () => {
  const member = new Member();
  const crash = (server: string): unknown => {
    const one = {server, requests: ['bad'], ageMs: 0};
    return member.run(CRASHES_COMMAND, {crashes: [one], answered: []});
  };
  const resultOf = (quarantined: readonly string[]): CrashesResult => ({
    quarantined,
    cleared: [],
    outdated: [[]],
  });
  for (const server of ['s1', 's2']) {
    expect(crash(server)).toEqual(resultOf([]));
    member.now += 1_000;
  }
  const {now} = member;
  const copy = member.copy();
  expect(copy.machine.crashes.find('bad', now)?.crashes).toBe(2);
  expect(crash('s3')).toEqual(resultOf(['bad']));
  const later = member.copy();
  const isQuarantined = (): boolean =>
    later.machine.crashes.find('bad', now)?.quarantinedUntil !== undefined;
  expect(isQuarantined()).toBe(true);
  later.run(LIFT_QUARANTINE_COMMAND, {request: 'bad'});
  expect(isQuarantined()).toBe(false);
});

test('a complete answer clears a suspected request', () => {
  const member = new Member();
  const one = {server: 's1', requests: ['a', 'b'], ageMs: 0};
  member.run(CRASHES_COMMAND, {crashes: [one], answered: []});
  member.run(CRASHES_COMMAND, {crashes: [], answered: ['a']});
  expect(member.machine.crashes.find('a', 0)).toBeUndefined();
  expect(member.machine.crashes.find('b', 0)?.crashes).toBe(1);
});

test('tells for which requests a crash was reported too late', () => {
  const member = new Member();
  const rules = CRASH_RULES.COUNTED_ONCE;
  const report = (crashes: CrashesPayload['crashes'], answered: string[]) =>
    member.run(CRASHES_COMMAND, {crashes, answered, rules});
  const first = {server: 's1', requests: ['a'], ageMs: 0};
  report([first], []);
  member.now += 1_000;
  expect(report([], ['a', 'b'])).toMatchObject({cleared: ['a']});
  const late = {server: 's2', requests: ['a', 'c'], ageMs: 500};
  const result = {quarantined: [], cleared: [], outdated: [['a']]};
  expect(report([late], [])).toEqual(result);
});

// Guards against a log entry that terminates every member at each replay.
test('members continue with the same state after a failed command', () => {
  const member = new Member();
  const broken = null as unknown as ClaimPayload;
  expect(() => member.run(CLAIM_COMMAND, broken)).toThrow('command failed');
  expect(member.run(CLAIM_COMMAND, CLAIM)).toEqual({kind: 'granted'});
  const replayed = new Member();
  expect(() => replayed.run(CLAIM_COMMAND, broken)).toThrow('command failed');
  replayed.run(CLAIM_COMMAND, CLAIM);
  expect(replayed.machine.snapshot()).toEqual(member.machine.snapshot());
});

// Guards against a zone that is evacuated again by a late copy of a request,
// and against an evacuation that is lost when all hosts restart.
test('an evacuation survives snapshots and is not repeated by its retry', () => {
  const member = new Member();
  const evacuate = {operationId: 'o1', digest: 'e', zone: 'a', evacuated: true};
  const server = {name: 's', availabilityZone: 'a'};
  member.run(EVACUATION_COMMAND, evacuate);
  const copy = member.copy();
  expect(copy.machine.evacuations.list()).toEqual([{zone: 'a', sinceMs: 0}]);
  expect(copy.machine.wantedStateOf(server)).toBe('draining');
  const resume = {operationId: 'o2', digest: 'r', zone: 'a', evacuated: false};
  copy.now += 1_000;
  expect(copy.run(EVACUATION_COMMAND, resume)).toMatchObject({
    kind: 'accepted',
  });
  copy.run(EVACUATION_COMMAND, evacuate);
  expect(copy.machine.wantedStateOf(server)).toBe('ready');
  const {evacuations, time} = copy.copy().machine;
  expect(evacuations.lastReturn('a')?.atMs).toBe(time.timeMs);
});

test('a server drains while it or its zone must', () => {
  const {machine} = new Member();
  const server = {name: 's', availabilityZone: 'a'};
  machine.wanted.set('s', 'draining');
  machine.evacuations.evacuate('a', 0);
  machine.evacuations.resume('a', 0);
  expect(machine.wantedStateOf(server)).toBe('draining');
  expect(machine.wantedStateOf({...server, name: 't'})).toBe('ready');
});
