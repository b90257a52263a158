import {Random, encodeLoad} from '@lovagepond/core';
import {beforeAll, describe, expect, it} from 'vitest';
import {RouterLoadView} from '../../router_load_view.js';
import {type PlacementServer} from '../../router_placement.js';
import {
  PLACEMENT_POLICIES,
  type PlacementPolicyName,
} from '../../router_placement_table.js';
import {RendezvousTable} from '../../router_rendezvous.js';
import {type KeyHasher, loadKeyHasher} from '../../router_rendezvous_hash.js';

const SETTINGS = {
  loadBound: 1.5,
  reuseWeight: 0.5,
  maxHoldMs: 8000,
  prefillTokensPerSecond: 8000,
  decodeTokensPerSecond: 2400,
};
const NAMES = Object.keys(PLACEMENT_POLICIES) as PlacementPolicyName[];

let hasher: KeyHasher;
beforeAll(async () => {
  hasher = await loadKeyHasher();
});

function makeServers(newServer?: string): PlacementServer[] {
  return Array.from({length: 6}, (_, slot) => {
    const name = `server-${slot}`;
    const readySince = name === newServer ? 0 : Number.NEGATIVE_INFINITY;
    return {name, slot, readySince};
  });
}

function placeChats(
  name: PlacementPolicyName,
  options: {
    load?: RouterLoadView;
    newServer?: string;
    returning?: boolean;
  } = {},
) {
  const policy = PLACEMENT_POLICIES[name](hasher);
  const servers = new RendezvousTable(makeServers(options.newServer), hasher);
  const load = options.load ?? new RouterLoadView();
  const random = new Random(801);
  return Array.from({length: 300}, (_, chat) =>
    policy.place({
      request: {
        workspace: 'w',
        chat: `chat-${chat}`,
        estimatedTokens: 600,
        promptTokens: 500,
        returning: options.returning ?? true,
      },
      servers,
      load,
      settings: SETTINGS,
      now: 1000,
      random,
    }),
  );
}

describe('placement policies', () => {
  it.each(NAMES)(
    '%s is deterministic for a seed and returns no duplicates',
    name => {
      const placements = placeChats(name);
      expect(placements).toEqual(placeChats(name));
      for (const {candidates} of placements) {
        expect(candidates).toHaveLength(4);
        expect(new Set(candidates).size).toBe(4);
      }
    },
  );

  // One server is far over the bound. New chats that have it as first choice
  // must start elsewhere, but it remains the first choice, which keeps their
  // pointers.
  it.each(['boundedRendezvous', 'holdAndTake'] as const)(
    '%s starts no new chat on a server over the bound',
    name => {
      const load = new RouterLoadView();
      const loads = [90_000, 9000, 9000, 9000, 9000, 9000].map(encodeLoad);
      load.applyDigest(Uint8Array.from(loads), 0);
      const placements = placeChats(name, {load, returning: false});
      const affected = placements.filter(item => item.firstChoice.slot === 0);
      expect(affected.length).toBeGreaterThan(20);
      for (const {candidates} of affected) {
        expect(candidates[0]!.slot).not.toBe(0);
      }
    },
  );

  // A new server is the first choice of a sixth of the chats. Some returning
  // chats started there, others before it was added. Only its sidecar can
  // distinguish them, so all must be offered to it first.
  it('places a returning chat at its first choice, new or not', () => {
    const placements = placeChats('holdAndTake', {newServer: 'server-2'});
    const asked = placements.filter(({firstChoice}) => firstChoice.slot === 2);
    expect(asked.length).toBeGreaterThan(20);
    for (const {candidates, firstChoice} of placements) {
      expect(candidates[0]).toBe(firstChoice);
    }
  });

  // With the same new server, a chat that started earlier is warm at its
  // previous first choice: the next server of its order that isn't new. Only
  // chats of the new server have such a candidate.
  it('lists the previous server of chats whose first choice is new', () => {
    const former = placeChats('holdAndTake');
    const placements = placeChats('holdAndTake', {newServer: 'server-2'});
    placements.forEach(({firstChoice, warmCandidates = []}, chat) => {
      const [, next] = former[chat]!.candidates;
      const expected = firstChoice.slot === 2 ? [next!.name] : [];
      expect(warmCandidates.map(({name}) => name)).toEqual(expected);
    });
    const options = {newServer: 'server-2', returning: false};
    for (const {warmCandidates} of placeChats('holdAndTake', options)) {
      expect(warmCandidates).toEqual([]);
    }
  });
});

describe('RouterLoadView', () => {
  // The digest is a second old. Requests that this router sent after the digest
  // was measured must be added, and earlier ones must not count twice.
  it('counts own sends on top of the digest exactly once', () => {
    const view = new RouterLoadView();
    view.recordSent(1, 500, 100);
    view.recordSent(1, 700, 900);
    expect(view.loadOf(1)).toBe(1200);
    view.applyDigest(Uint8Array.from([0, encodeLoad(4096)]), 600);
    expect(view.loadOf(1)).toBeCloseTo(4096 + 700, -2);
    view.recordObserved(1, 3000, 1000);
    expect(view.loadOf(1)).toBe(3000);
    view.applyDigest(Uint8Array.from([0, encodeLoad(64_000)]), 950);
    expect(view.loadOf(1)).toBe(3000);
    view.applyDigest(Uint8Array.from([0, 0]), 1100);
    expect(view.loadOf(1)).toBe(0);
    expect(view.meanOf(Int32Array.of(0, 1))).toBe(0);
  });

  it('expires own sends without a new digest and reports a stale digest', () => {
    const view = new RouterLoadView();
    view.recordSent(0, 500, 0);
    view.recordSent(2, 100, 6000);
    expect(view.loadOf(0)).toBe(0);
    expect(view.loadOf(2)).toBe(100);
    expect(view.loadOf(9)).toBe(0);
    view.applyDigest(new Uint8Array(3), 7000);
    expect(view.isStale(16_000)).toBe(false);
    expect(view.isStale(18_000)).toBe(true);
  });
});
