import {afterEach, beforeEach, expect, test, vi} from 'vitest';
import {
  type ChangeRequest,
  type OrderRequest,
} from '../../control_administration.js';
import {ORDER_COMMAND} from '../../control_commands.js';
import {type IssueResult} from '../../order_state.js';
import {type ProposalResult} from '../../proposer.js';
import {ControlCluster, settle} from '../model/control_cluster.js';

let cluster: ControlCluster;

beforeEach(async () => {
  vi.useFakeTimers();
  cluster = new ControlCluster();
  await cluster.start();
});

afterEach(async () => {
  await cluster.stop();
  vi.useRealTimers();
});

/** A sidecar that claims, dispatches to the service, and records. */
class Sidecar {
  constructor(readonly name: string) {}

  /** Asks one leader after the other until it hears an answer. */
  async claim(attemptId: string, loseAnswer = false): Promise<string> {
    for (let lost = loseAnswer; ; lost = false) {
      const leader = await cluster.untilLeader();
      const answer = await settle(
        leader.ledger.claim({
          workspace: 'w',
          idempotencyKey: 'k',
          bodyDigest: new Uint8Array([1]),
          backendServer: this.name,
          incarnation: 'i1',
          attemptId,
        }),
      );
      if (lost) await cluster.crash(leader);
      else if (answer && !RETRIED.has(answer.outcome)) return answer.outcome;
    }
  }

  async record(attemptId: string, loseAnswer = false): Promise<boolean> {
    for (let lost = loseAnswer; ; lost = false) {
      const leader = await cluster.untilLeader();
      const answer = await settle(
        leader.ledger.record({
          workspace: 'w',
          idempotencyKey: 'k',
          attemptId,
          outcome: 'ran',
          status: 200,
          answer: new Uint8Array([7]),
          contentType: 't',
        }),
      );
      if (lost) await cluster.crash(leader);
      else if (answer && answer.leader === '') return answer.recorded;
    }
  }
}

const RETRIED = new Set(['notLeader', 'ledgerUnavailable']);

async function crashLeader(): Promise<void> {
  await cluster.crash(await cluster.untilLeader());
}

// A sidecar claims a call, dispatches it and records it, while the leader
// crashes at each point of that, with the answer it was about to give. The
// caller repeats through another sidecar after each step. The call runs once,
// and once it is recorded every repeat hears its answer.
test.each([0, 1, 2, 3, 4])('a leader crash at step %i', async crashAt => {
  const runs: string[] = [];
  const [first, second] = [new Sidecar('s1'), new Sidecar('s2')];
  const repeats: string[] = [];
  if (crashAt === 0) await crashLeader();
  const claimed = await first.claim('a1', crashAt === 1);
  expect(claimed).toBe('granted');
  repeats.push(await second.claim('a2'));
  if (crashAt === 2) await crashLeader();
  runs.push('a1');
  repeats.push(await second.claim('a3'));
  if (crashAt === 3) await crashLeader();
  expect(await first.record('a1', crashAt === 4)).toBe(true);
  repeats.push(await second.claim('a4'));
  expect(repeats).toEqual(['inProgress', 'inProgress', 'recorded']);
  expect(runs).toEqual(['a1']);
});

// A host's disk is lost and it is repaired from the others; right after that a
// second host is lost for good. The claim stands on the repaired one and on one
// that held it from the start: were the repair counted too early, the repeat
// would be granted.
test('a claim outlives a second loss right after a repair', async () => {
  const [first, second] = [new Sidecar('s1'), new Sidecar('s2')];
  expect(await first.claim('a1')).toBe('granted');
  const leader = await cluster.untilLeader();
  const follower = cluster.members.find(member => member !== leader)!;
  await cluster.replaceDisk(follower);
  await leader.node.stop();
  expect(await second.claim('a2')).toBe('inProgress');
});

const CHANGE: ChangeRequest = {
  operationId: 'op',
  baseRevision: 0,
  dryRun: false,
  change: {kind: 'put', section: 'workspaces', object: {name: 'w'}},
};

// The leader commits a change and crashes before its operator hears of it.
// Sent again to the next leader, the change must not be a conflict with itself.
test('a change whose answer was lost is accepted once', async () => {
  const old = await cluster.untilLeader();
  const lost = await settle(old.changer.change(CHANGE));
  await cluster.crash(old);
  const next = await cluster.untilLeader();
  expect(await settle(next.changer.change(CHANGE))).toEqual(lost);
  const current = next.machine.configuration.current.read();
  expect(current.revision).toBe(1);
  const race = {...CHANGE, operationId: 'other'};
  expect(await settle(next.changer.change(race))).toMatchObject({
    kind: 'conflict',
    currentRevision: 1,
  });
});

// A partition cuts the leader off without a sign. It goes on to be asked: it
// must grant nothing, confirm nothing and issue no order, while the others
// elect a leader whose tokens are above its own. Back again, it knows better.
test('a leader behind a silent partition does nothing', async () => {
  const old = await cluster.untilLeader();
  const order: Omit<OrderRequest, 'orderId'> = {
    backendServer: 's',
    action: 'loadModel',
    arguments: {},
  };
  const issue = (
    member: typeof old,
    orderId: string,
  ): Promise<ProposalResult<IssueResult> | undefined> =>
    settle(member.proposer.propose(ORDER_COMMAND, {...order, orderId}));
  const first = await issue(old, 'o1');
  cluster.network.cutOff.add(old.address);
  const claim = {
    workspace: 'w',
    idempotencyKey: 'k',
    bodyDigest: new Uint8Array(),
    backendServer: 's',
    incarnation: 'i',
  };
  const stale = old.ledger.claim({...claim, attemptId: 'a1'});
  const staleConfirm = old.proposer.confirm();
  const staleOrder = issue(old, 'o2');
  const next = await cluster.untilLeader();
  const granted = await settle(next.ledger.claim({...claim, attemptId: 'a2'}));
  expect(granted?.outcome).toBe('granted');
  expect((await settle(stale))?.outcome).not.toBe('granted');
  expect(await settle(staleConfirm)).not.toBe(true);
  expect((await staleOrder)?.kind).not.toBe('committed');
  expect(old.proposer.leads()).toBe(false);
  const second = await issue(next, 'o3');
  expect(tokenOf(second)).toBeGreaterThan(tokenOf(first) + 1);
  cluster.network.cutOff.clear();
  await settle(new Promise(() => {}));
  expect(old.machine.orders.list().map(o => o.orderId)).toEqual(['o3', 'o1']);
  expect(old.machine.snapshot()).toEqual(next.machine.snapshot());
});

function tokenOf(answer: unknown): number {
  return (answer as {value: {fencingToken: number}}).value.fencingToken;
}
