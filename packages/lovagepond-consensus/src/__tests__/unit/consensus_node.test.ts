import {Random} from '@lovagepond/core';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import {
  ConsensusNode,
  type ConsensusStorage,
  DEFAULT_CONSENSUS_TIMINGS,
  MemoryNetwork,
  MemoryStorage,
  type StateMachine,
  StorageError,
} from '../../index.js';

class Register implements StateMachine {
  value = '';

  apply(command: Uint8Array): Uint8Array {
    this.value += Buffer.from(command).toString();
    return this.snapshot();
  }

  snapshot(): Uint8Array {
    return Buffer.from(this.value);
  }

  restore(snapshot: Uint8Array): void {
    this.value = Buffer.from(snapshot).toString();
  }
}

const SILENT = {debug() {}, info() {}, warn() {}, error() {}};
const ADDRESSES = ['a:1', 'b:1', 'c:1'];
const timings = {...DEFAULT_CONSENSUS_TIMINGS, snapshotEveryEntries: 4};

let network: MemoryNetwork;
let running: ConsensusNode[];

interface StartOptions {
  readonly reopenStorage?: () => ConsensusStorage;
  readonly openMembership?: boolean;
}

async function startNode(
  address: string,
  storage: ConsensusStorage,
  peers: readonly string[],
  {reopenStorage, openMembership = false}: StartOptions = {},
): Promise<{node: ConsensusNode; register: Register}> {
  const register = new Register();
  const node = new ConsensusNode(
    {address, peers, timings, openMembership},
    {
      stateMachine: register,
      storage,
      ...(reopenStorage && {reopenStorage}),
      transport: network.attach(address),
      clock: {now: () => performance.now(), wallTime: () => 0},
      random: new Random(address.charCodeAt(0)),
      log: SILENT,
    },
  );
  await node.start();
  running.push(node);
  return {node, register};
}

async function advance(ms: number): Promise<void> {
  await vi.advanceTimersByTimeAsync(ms);
}

/** Proposes and lets virtual time pass until there is an answer. */
async function propose(node: ConsensusNode, text: string): Promise<string> {
  const proposing = node.propose(Buffer.from(text));
  await advance(300);
  return (await proposing).kind;
}

beforeEach(() => {
  vi.useFakeTimers();
  network = new MemoryNetwork();
  running = [];
});

afterEach(async () => {
  for (const node of running) await node.stop();
  vi.useRealTimers();
});

describe('ConsensusNode', () => {
  it('with one member has its state again after a restart', async () => {
    const storage = new MemoryStorage('m1');
    const first = await startNode('a:1', storage, ['a:1']);
    await advance(1000);
    expect(await propose(first.node, 'x')).toBe('committed');
    await first.node.stop();

    const second = await startNode('a:1', storage, ['a:1']);
    await advance(1000);
    const reading = second.node.readBarrier();
    await advance(100);
    expect(await reading).toMatchObject({kind: 'ok'});
    expect(second.register.value).toBe('x');
    expect(second.node.status().leaseValid).toBe(true);
  });

  // The host that formed the group loses its disk and comes back empty while
  // another host is down, so that the group can't work. It must not form a
  // second group beside the one it forgot: what was acknowledged would be gone.
  it('forms no second group on an emptied disk', async () => {
    const nodes = [];
    for (const address of ADDRESSES) {
      const storage = new MemoryStorage(`${address}-first`);
      nodes.push(await startNode(address, storage, ADDRESSES));
    }
    await advance(3000);
    const former = nodes[0]!.node;
    expect(former.status().role).toBe('leader');
    expect(former.status().members).toHaveLength(3);
    for (const text of ['a', 'b', 'c', 'd', 'e', 'f']) {
      expect(await propose(former, text)).toBe('committed');
    }

    await former.stop();
    const left = nodes.slice(1).map(({node}) => node);
    await left[1]!.stop();
    const emptied = new MemoryStorage('a:1-second');
    const back = await startNode('a:1', emptied, ADDRESSES);
    await advance(5000);
    expect(back.node.status()).toMatchObject({role: 'follower', members: []});
    expect((await emptied.open()).entries).toEqual([]);
  });

  // The same with the others up: the host joins as a learner, gets the snapshot,
  // and takes the place of the voter that it was.
  it('lets a host with an emptied disk catch up and vote again', async () => {
    const nodes = [];
    for (const address of ADDRESSES) {
      const storage = new MemoryStorage(`${address}-first`);
      nodes.push(await startNode(address, storage, ADDRESSES));
    }
    await advance(3000);
    for (const text of ['a', 'b', 'c', 'd', 'e', 'f']) {
      expect(await propose(nodes[0]!.node, text)).toBe('committed');
    }
    await nodes[0]!.node.stop();
    const emptied = new MemoryStorage('a:1-second');
    const back = await startNode('a:1', emptied, ADDRESSES);
    await advance(6000);
    expect(back.register.value).toBe('abcdef');
    const leading = nodes.find(({node}) => node.status().role === 'leader')!;
    const {members} = leading.node.status();
    expect(members.map(({id, voter}) => `${id} ${voter}`).sort()).toEqual([
      'a:1-second true',
      'b:1-first true',
      'c:1-first true',
    ]);
    expect(await propose(leading.node, 'g')).toBe('committed');
  });

  // An operator replaces the leader itself by a new host. The new one has all
  // that was acknowledged before it votes; the old one goes last, then another
  // leads, and the group goes on with the host that was replaced shut down.
  it('replaces a leader that is up by a new host', async () => {
    const nodes = [];
    for (const address of ADDRESSES) {
      const storage = new MemoryStorage(address);
      nodes.push(await startNode(address, storage, ADDRESSES));
    }
    await advance(3000);
    const old = nodes[0]!.node;
    for (const text of ['a', 'b', 'c', 'd', 'e']) {
      expect(await propose(old, text)).toBe('committed');
    }
    const fresh = await startNode('d:1', new MemoryStorage('d'), ADDRESSES);
    const replacing = old.replaceMember('a:1', 'd', 'd:1');
    const resent = old.replaceMember('a:1', 'd', 'd:1');
    await advance(2000);
    expect(await replacing).toMatchObject({kind: 'committed'});
    expect((await resent).kind).toMatch(/committed|notLeader/);
    expect(fresh.register.value).toBe('abcde');
    await old.stop();
    await advance(3000);
    const voting = [nodes[1]!.node, nodes[2]!.node, fresh.node];
    const leading = voting.find(node => node.status().role === 'leader')!;
    const members = leading.status().members.map(({id}) => id);
    expect(members.sort()).toEqual(['b:1', 'c:1', 'd']);
    expect(await propose(leading, 'f')).toBe('committed');
    await advance(300);
    expect(fresh.register.value).toBe('abcdef');
  });

  // The disk of a member fails under a proposal. The caller gets `unknown`,
  // later callers are refused, and the member says why it has stopped.
  it('stops with a clear failure when storage fails', async () => {
    const storage = new MemoryStorage('m1');
    const {node} = await startNode('a:1', storage, ['a:1']);
    await advance(1000);
    vi.spyOn(storage, 'write').mockRejectedValue(
      new StorageError({kind: 'diskFull', file: 'log'}),
    );
    expect(await propose(node, 'x')).toBe('unknown');
    expect(await propose(node, 'y')).toBe('notLeader');
    expect(await node.readBarrier()).toEqual({kind: 'notLeader'});
    expect(node.status()).toMatchObject({
      leaseValid: false,
      role: 'follower',
      failure: 'no room left on the disk for log',
    });
  });

  // The disk of one of three members is full for a while. It stops at once,
  // as it can promise nothing; the other two go on. Once the disk takes bytes
  // again the member has to come back by itself: one more loss would else
  // leave the group without a majority.
  it('comes back once its disk works again', async () => {
    const storages = ADDRESSES.map((_, at) => new MemoryStorage(`m${at}`));
    const nodes = [];
    for (const [at, address] of ADDRESSES.entries()) {
      const storage = storages[at]!;
      const reopenStorage = (): ConsensusStorage => storage;
      const options = {reopenStorage};
      nodes.push(await startNode(address, storage, ADDRESSES, options));
    }
    await advance(3000);
    const leading = nodes.find(({node}) => node.status().role === 'leader')!;
    const failedAt = nodes.findIndex(one => one !== leading);
    const full = new StorageError({kind: 'diskFull', file: 'log'});
    // To open it anew takes a write, too.
    const failing = (['write', 'open'] as const).map(call =>
      vi.spyOn(storages[failedAt]!, call).mockRejectedValue(full),
    );
    expect(await propose(leading.node, 'a')).toBe('committed');
    expect(nodes[failedAt]!.node.status().failure).toBeDefined();
    await advance(2000);
    expect(nodes[failedAt]!.node.status().failure).toBeDefined();
    for (const call of failing) call.mockRestore();
    await advance(2000);
    expect(nodes[failedAt]!.node.status().failure).toBeUndefined();
    expect(await propose(leading.node, 'b')).toBe('committed');
    await advance(300);
    expect(nodes[failedAt]!.register.value).toBe('ab');
  });

  // The seeds name three hosts. A fourth joins beside them; then one is gone for
  // good, and a fifth takes its place. Were the lost one still counted, the next
  // loss would leave two of four, which can't accept a change.
  it('lets hosts in that no seed names, in place of lost ones', async () => {
    const open = {openMembership: true};
    const join = (address: string): ReturnType<typeof startNode> =>
      startNode(address, new MemoryStorage(address), ADDRESSES, open);
    const nodes: Awaited<ReturnType<typeof startNode>>[] = [];
    for (const address of [...ADDRESSES, 'd:1']) {
      nodes.push(await join(address));
    }
    await advance(3000);
    const voters = (): string[] => {
      const {members} = leading().status();
      return members.filter(({voter}) => voter).map(({id}) => id);
    };
    const leading = (): ConsensusNode =>
      nodes.find(({node}) => node.status().role === 'leader')!.node;
    expect(voters().sort()).toEqual([...ADDRESSES, 'd:1']);
    expect(await propose(leading(), 'x')).toBe('committed');

    const lost = nodes.findIndex(({node}) => node !== leading());
    const lostId = nodes[lost]!.node.status().id;
    await nodes[lost]!.node.stop();
    nodes.splice(lost, 1);
    // The leader misses its answers by then.
    await advance(timings.electionTimeoutMs);
    nodes.push(await join('e:1'));
    await advance(2500);
    // Silent for less than four seconds, it may only be restarting.
    expect(voters()).toContain(lostId);
    expect(voters()).not.toContain('e:1');
    await advance(4000);
    expect(voters()).not.toContain(lostId);
    expect(voters()).toContain('e:1');
    expect(voters()).toHaveLength(4);
    const next = nodes.findIndex(({node}) => node !== leading());
    await nodes[next]!.node.stop();
    nodes.splice(next, 1);
    await advance(2000);
    expect(await propose(leading(), 'y')).toBe('committed');
    await advance(300);
    expect(nodes.map(({register}) => register.value)).toEqual([
      ...['xy', 'xy', 'xy'],
    ]);
  });

  // A host replaces one that is gone, and none of the members it was told of
  // leads. Only a leader can let it in: unheard, it would wait for good, and
  // the next loss would end the group.
  it('lets a host in that knows only a follower', async () => {
    const nodes: Awaited<ReturnType<typeof startNode>>[] = [];
    const open = {openMembership: true};
    for (const address of ADDRESSES) {
      const storage = new MemoryStorage(address);
      nodes.push(await startNode(address, storage, ADDRESSES, open));
    }
    await advance(3000);
    const leader = nodes.find(({node}) => node.status().role === 'leader')!;
    const follower = nodes.find(one => one !== leader)!.node.status().id;
    await startNode('d:1', new MemoryStorage('d:1'), [follower], open);
    await advance(3000);
    const {members} = leader.node.status();
    expect(members.find(({id}) => id === 'd:1')?.voter).toBe(true);
  });
});
