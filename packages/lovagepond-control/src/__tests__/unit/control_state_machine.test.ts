import {type Command, type ConfigurationContent} from '@lovagepond/core';
import {expect, test} from 'vitest';
import {type OrderRequest} from '../../control_administration.js';
import {
  CHANGE_COMMAND,
  type ChangePayload,
  CLAIM_COMMAND,
  type ClaimPayload,
  CRASHES_COMMAND,
  decodeResult,
  encodeCommand,
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

/** A member that applies commands, as leaders of several terms stamp them. */
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

  /** A member that has only the snapshot, as after a restart. */
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

// Two operators change the same revision at the same time. The first in the
// log wins; the other learns the differences, and neither change is mixed in.
test('racing changes have one winner and a conflict', () => {
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

// The answer to a change is lost and other changes follow. The operator sends
// it again, to a leader that knows the first answer only from a snapshot.
test('a resent change gets its first answer from the next leader', () => {
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

test('an old revision comes back as a new one while it is kept', () => {
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

// A server is drained, then resumed. The drain's resend arrives only now; run
// again it would drain the server that the operator has just resumed.
test('a resent drain after a resume has no effect', () => {
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

test('fencing tokens rise over terms, and an order is issued once', () => {
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

// A leader whose clock stands far ahead takes over. Were its clock put into
// commands, every key would expire at once and its call could run again.
test('time in commands goes on from the former leader, not from a clock', () => {
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

// Guards against a quarantine that ends with a stop of all hosts.
test('crashes are counted over snapshots until an operator lifts them', () => {
  const member = new Member();
  const crash = (server: string): unknown => {
    const one = {server, requests: ['bad'], ageMs: 0};
    return member.run(CRASHES_COMMAND, {crashes: [one], answered: []});
  };
  for (const server of ['s1', 's2']) {
    expect(crash(server)).toEqual({quarantined: []});
    member.now += 1_000;
  }
  const {now} = member;
  const copy = member.copy();
  expect(copy.machine.crashes.find('bad', now)?.crashes).toBe(2);
  expect(crash('s3')).toEqual({quarantined: ['bad']});
  const later = member.copy();
  const isQuarantined = (): boolean =>
    later.machine.crashes.find('bad', now)?.quarantinedUntil !== undefined;
  expect(isQuarantined()).toBe(true);
  later.run(LIFT_QUARANTINE_COMMAND, {request: 'bad'});
  expect(isQuarantined()).toBe(false);
});

test('a whole answer acquits a request at all members', () => {
  const member = new Member();
  const one = {server: 's1', requests: ['a', 'b'], ageMs: 0};
  member.run(CRASHES_COMMAND, {crashes: [one], answered: []});
  member.run(CRASHES_COMMAND, {crashes: [], answered: ['a']});
  expect(member.machine.crashes.find('a', 0)).toBeUndefined();
  expect(member.machine.crashes.find('b', 0)?.crashes).toBe(1);
});

// Guards against a log entry that ends one member after the other, at each replay.
test('a command that fails leaves members alive and alike', () => {
  const member = new Member();
  const broken = null as unknown as ClaimPayload;
  expect(() => member.run(CLAIM_COMMAND, broken)).toThrow('command failed');
  expect(member.run(CLAIM_COMMAND, CLAIM)).toEqual({kind: 'granted'});
  const replayed = new Member();
  expect(() => replayed.run(CLAIM_COMMAND, broken)).toThrow('command failed');
  replayed.run(CLAIM_COMMAND, CLAIM);
  expect(replayed.machine.snapshot()).toEqual(member.machine.snapshot());
});
