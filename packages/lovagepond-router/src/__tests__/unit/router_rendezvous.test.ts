import fc from 'fast-check';
import {beforeAll, describe, expect, it} from 'vitest';
import {RendezvousTable} from '../../router_rendezvous.js';
import {type KeyHasher, loadKeyHasher} from '../../router_rendezvous_hash.js';
import {
  makePermutationKey,
  positionOfRank,
  rankOfPosition,
} from '../../router_rendezvous_permutation.js';

const SEED = 800;
const CHATS = 4000;

let hasher: KeyHasher;
beforeAll(async () => {
  hasher = await loadKeyHasher();
});

function makeTable(names: readonly string[]) {
  const servers = names.map((name, slot) => ({name, slot}));
  return new RendezvousTable(servers, hasher);
}

function nameServers(count: number): string[] {
  return Array.from({length: count}, (_, index) => `server-${index}`);
}

function orderNames(
  table: ReturnType<typeof makeTable>,
  chat: number,
  count: number,
): string[] {
  const order = table.order(hasher.hash(`chat-${chat}`), count);
  return order.map(index => table.servers[index]!.name);
}

describe('RendezvousTable', () => {
  it('inverts its permutation', () => {
    fc.assert(
      fc.property(fc.nat(0xffff), fc.nat(), fc.nat(), (rank, low, high) => {
        const key = makePermutationKey({low, high});
        return rankOfPosition(positionOfRank(rank, key), key) === rank;
      }),
      {seed: SEED},
    );
  });

  // A backend server leaves. Only its chats may move to other servers;
  // otherwise a single departure would cost every chat its cached context. This
  // must hold for ranking all servers (few) and for walking the permutation
  // (many).
  it.each([6, 64, 640])(
    'moves only the chats of the server removed from %i',
    n => {
      const names = nameServers(n);
      const before = makeTable(names);
      const after = makeTable(names.filter(name => name !== 'server-3'));
      for (let chat = 0; chat < CHATS; chat++) {
        const order = orderNames(before, chat, 3);
        const kept = order.filter(name => name !== 'server-3');
        expect(orderNames(after, chat, 3).slice(0, kept.length)).toEqual(kept);
      }
    },
  );

  // For some seconds, two routers have different lists. When each router's
  // first choice for a chat is on both lists, both must choose the same server.
  it('lets routers disagree only where their lists differ', () => {
    const lists = fc.subarray(nameServers(30), {minLength: 1});
    fc.assert(
      fc.property(lists, lists, fc.nat(), (mine, theirs, chat) => {
        const [a] = orderNames(makeTable(mine), chat, 1);
        const [b] = orderNames(makeTable(theirs), chat, 1);
        if (theirs.includes(a!) && mine.includes(b!)) expect(a).toBe(b);
      }),
      {seed: SEED},
    );
  });

  it('is independent of the order of the list and of the requested count', () => {
    const names = nameServers(640);
    const table = makeTable(names);
    const reversed = makeTable([...names].reverse());
    for (let chat = 0; chat < 500; chat++) {
      const whole = orderNames(table, chat, 640);
      expect(new Set(whole).size).toBe(640);
      expect(orderNames(reversed, chat, 4)).toEqual(whole.slice(0, 4));
    }
  });

  it.each([
    [6, 60_000, 1.05],
    [640, 640_000, 1.15],
  ])('spreads chats evenly over %i servers', (n, chats, limit) => {
    const table = makeTable(nameServers(n));
    const counts = new Map<number, number>();
    for (let chat = 0; chat < chats; chat++) {
      const [index] = table.order(hasher.hash(`chat-${chat}`), 1);
      counts.set(index!, (counts.get(index!) ?? 0) + 1);
    }
    const most = Math.max(...counts.values());
    expect(most / (chats / n)).toBeLessThan(limit);
  });
});
