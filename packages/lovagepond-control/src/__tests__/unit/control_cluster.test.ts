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

/** A sidecar that claims and records a call. */
class Sidecar {
  constructor(readonly name: string) {}

  /** Retries at each new leader until it gets an answer. */
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

// A sidecar claims, dispatches and records a call, and the leader crashes at
// one of these steps before it answers. After each step, the caller retries
// through another sidecar. The call must run once, and retries after the record
// must get its answer.
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

// A host loses its disk and is repaired from the others. Right after that, a
// second host is lost permanently. The claim is left on the repaired host and
// on one that had it from the start. If the repaired host voted too early, a
// retry would be granted.
test('a claim survives a second loss right after a repair', async () => {
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

// The leader commits a change and crashes before it answers the operator. A
// retry at the next leader must not conflict with the change itself.
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

// A partition silently cuts off the leader, which still gets requests. It must
// grant nothing, confirm nothing and issue no order, while the others elect a
// leader with higher fencing tokens. After the partition, it must adopt the new
// leader's state.
test('a partitioned leader grants, confirms and issues nothing', async () => {
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
