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

/** Proposes and advances the virtual time until there is an outcome. */
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
  it('restores the state of a single member after a restart', async () => {
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

  // The host that formed the group returns with an empty disk while another
  // host is down, so that the group has no quorum. It must not form a second
  // group: all acknowledged entries would be missing in it.
  it('forms no second group on an emptied disk', async () => {
    const nodes = [];
    for (const address of ADDRESSES) {
      const storage = new MemoryStorage(`${address}-first`);
      nodes.push(await startNode(address, storage, ADDRESSES));
    }
    await advance(3000);
    const leader = nodes[0]!.node;
    expect(leader.status().role).toBe('leader');
    expect(leader.status().members).toHaveLength(3);
    for (const text of ['a', 'b', 'c', 'd', 'e', 'f']) {
      expect(await propose(leader, text)).toBe('committed');
    }

    await leader.stop();
    const survivors = nodes.slice(1).map(({node}) => node);
    await survivors[1]!.stop();
    const emptied = new MemoryStorage('a:1-second');
    const returned = await startNode('a:1', emptied, ADDRESSES);
    await advance(5000);
    expect(returned.node.status()).toMatchObject({
      role: 'follower',
      members: [],
    });
    expect((await emptied.open()).entries).toEqual([]);
  });

  // A host returns with an empty disk while the other hosts run. It joins as a
  // learner, receives the snapshot, and replaces its previous identity as a
  // voter.
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
    const returned = await startNode('a:1', emptied, ADDRESSES);
    await advance(6000);
    expect(returned.register.value).toBe('abcdef');
    const leading = nodes.find(({node}) => node.status().role === 'leader')!;
    const {members} = leading.node.status();
    expect(members.map(({id, voter}) => `${id} ${voter}`).sort()).toEqual([
      'a:1-second true',
      'b:1-first true',
      'c:1-first true',
    ]);
    expect(await propose(leading.node, 'g')).toBe('committed');
  });

  // An operator replaces the running leader by a new host. The new host has all
  // acknowledged entries before it votes, and the old leader is removed last.
  // Then another member leads, and the group works after the old host is
  // stopped.
  it('replaces a running leader by a new host', async () => {
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

  // The disk of a member fails during a proposal. The outcome is `unknown`,
  // later calls are refused, and the status names the reason.
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

  // The disk of one of three members is full for a while. The member stops at
  // once, since its promises would not be durable; the other two continue. Once
  // the disk accepts writes, the member has to return by itself, or one more
  // loss would leave the group without a majority.
  it('resumes once its disk works again', async () => {
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
    // Opening writes to the disk, too.
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

  // There are three seeds. A fourth host joins them, then one voter is lost for
  // good and a fifth host replaces it. If the lost voter still counted, the
  // next loss would leave two of four voters, which can't commit a change.
  it('lets hosts that are no seeds replace lost ones', async () => {
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
    // After this time the leader counts the lost voter as inactive.
    await advance(timings.electionTimeoutMs);
    nodes.push(await join('e:1'));
    await advance(2500);
    // For less than four seconds the lost voter may only be restarting.
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

  // A new host replaces a lost one and knows only a follower, but only the
  // leader can let it join. If the request were not forwarded, the host would
  // wait forever, and the next loss would leave the group without a majority.
  it('lets a host join that knows only a follower', async () => {
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
