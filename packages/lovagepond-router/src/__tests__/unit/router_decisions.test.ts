import {type BackendServer, Random, SERVER_STATE} from '@lovagepond/core';
import {encodeConfiguration, encodeLoad} from '@lovagepond/core';
import fc from 'fast-check';
import {beforeAll, describe, expect, test} from 'vitest';
import {EarlyRefusal} from '../../router_early_refusal.js';
import {Eligibility} from '../../router_eligibility.js';
import {
  DEFAULT_EVIDENCE_SETTINGS,
  RouterEvidence,
} from '../../router_evidence.js';
import {RouterLoadView} from '../../router_load_view.js';
import {PLACEMENT_POLICIES} from '../../router_placement_table.js';
import {type KeyHasher, loadKeyHasher} from '../../router_rendezvous_hash.js';
import {RetryBudget} from '../../router_retry_budget.js';
import {RouterRevisions} from '../../router_revisions.js';
import {ServerChoice} from '../../router_server_choice.js';
import {makeConfiguration} from '../fakes/router_fakes.js';

const SEED = 7;

function makeServer(
  index: number,
  change: Partial<BackendServer> = {},
): BackendServer {
  return {
    name: `s${index}`,
    incarnation: `i${index}`,
    pool: 'chat',
    labels: {},
    availabilityZone: 'a',
    region: 'r',
    address: `host-${index}:1`,
    state: SERVER_STATE.READY,
    capacityTokens: 1_000,
    models: [],
    slot: index,
    ...change,
  };
}

function listServers(count: number): BackendServer[] {
  return Array.from({length: count}, (_, index) => makeServer(index));
}

function makeMembership(servers: readonly BackendServer[]): {
  version: number;
  servers: Map<string, BackendServer>;
} {
  return {version: 1, servers: new Map(servers.map(item => [item.name, item]))};
}

const targetOf = ({name, incarnation, address}: BackendServer) => ({
  backendServer: name,
  incarnation,
  address,
});

describe('eligibility', () => {
  const configuration = makeConfiguration(1, {
    pools: [
      {name: 'big', kind: 'engine', labels: {tier: 'gold'}},
      {name: 'small', kind: 'engine'},
    ],
    workspaces: [{name: 'bakery'}, {name: 'garden'}],
    requestKinds: [{name: 'chat'}, {name: 'redeem', nonRepeatable: true}],
    selectors: [
      {
        name: 'rest',
        workspaces: ['*'],
        requestKinds: ['*'],
        pools: 'pool=small',
      },
      {
        name: 'gold',
        workspaces: ['bakery'],
        requestKinds: ['chat'],
        chatPrefixes: ['vip-'],
        pools: 'tier=gold',
        backendServers: 'zone in (a|b)',
        priority: 5,
      },
    ],
  });
  const servers = [
    makeServer(0, {pool: 'big', labels: {zone: 'a'}}),
    makeServer(1, {pool: 'big', labels: {zone: 'c'}}),
    makeServer(2, {pool: 'small'}),
    makeServer(3, {pool: 'small', state: SERVER_STATE.DRAINING}),
  ];
  const eligibility = new Eligibility(configuration, makeMembership(servers));
  const namesFor = (workspace: string, kind: string, chat: string) => {
    const verdict = eligibility.find(workspace, kind, chat);
    return verdict.ok
      ? verdict.eligible.set.servers.map(item => item.name)
      : verdict.failure.kind;
  };

  test('the first selector by priority decides, over pools and servers', () => {
    expect(namesFor('bakery', 'chat', 'vip-1')).toEqual(['s0']);
    expect(namesFor('bakery', 'chat', 'c-1')).toEqual(['s2']);
    expect(namesFor('garden', 'chat', 'vip-1')).toEqual(['s2']);
  });

  // A misspelt kind falls to the selector for any kind and is sent as a
  // repeatable call: after a lost answer it would be dispatched again.
  test('unknown names are refused and match no selector for any', () => {
    expect(namesFor('nobody', 'chat', '')).toBe('unknownWorkspace');
    expect(namesFor('bakery', 'reedem', '')).toBe('badRequest');
  });
});

describe('revisions', () => {
  const settings = {islandPolicy: 'refuse', islandAfterMs: 1_000} as const;

  // An operator's change is in force and then undone, since an older
  // configuration arrives late from control or a sidecar that was cut off.
  test('no order of arrival brings an older configuration back', () => {
    const order = fc.array(fc.integer({min: 1, max: 30}), {minLength: 1});
    const property = fc.property(order, revisions => {
      const held = new RouterRevisions(settings);
      let highest = 0;
      for (const revision of revisions) {
        held.install(encodeConfiguration(makeConfiguration(revision)));
        highest = Math.max(highest, revision);
        expect(held.configuration.revision).toBe(highest);
      }
    });
    fc.assert(property, {numRuns: 50, seed: SEED});
  });

  // A router restarts while a minority's control member still holds revision
  // 1: serving by it, it would send requests where revision 2 forbids them.
  test('nothing is served before a majority-confirmed revision is held', () => {
    const held = new RouterRevisions(settings);
    held.noteControlMessage(0);
    held.install(encodeConfiguration(makeConfiguration(1)));
    expect(held.mayServe(0)).toBe(false);
    held.confirm(2);
    expect(held.mayServe(0)).toBe(false);
    held.install(encodeConfiguration(makeConfiguration(2)));
    expect(held.mayServe(0)).toBe(true);
    expect(held.mayServe(1_001)).toBe(false);
    const island = {...settings, islandPolicy: 'serve'} as const;
    const serving = new RouterRevisions(island);
    serving.confirm(0);
    expect(serving.mayServe(1_001)).toBe(true);
  });
});

describe('evidence', () => {
  const server = makeServer(0);
  const target = targetOf(server);

  // Something between router and server forgets idle connections: requests on
  // them hang while fresh ones work. Blaming the server for it would empty a
  // healthy pool; not blaming one that refuses connections loses requests
  // until control's lease runs out.
  test('silence alone accuses nobody, a failed fresh connection does', () => {
    const evidence = new RouterEvidence(
      DEFAULT_EVIDENCE_SETTINGS,
      new Random(1),
    );
    for (let round = 0; round < 10; round += 1) {
      evidence.note(target, 'silent', round);
      evidence.note(target, 'silent', round);
      expect(evidence.isSuspect('i0', round)).toBe(false);
      evidence.noteResponse('i0', round);
    }
    for (let round = 0; round < 3; round += 1) {
      evidence.note(target, 'silent', 15);
    }
    expect(evidence.isSuspect('i0', 15)).toBe(true);
    evidence.noteResponse('i0', 16);
    expect(evidence.isSuspect('i0', 16)).toBe(false);
    evidence.note(target, 'unreachable', 20);
    expect(evidence.isSuspect('i0', 20)).toBe(true);
    expect(evidence.isSuspect('i0-restarted', 20)).toBe(false);
  });

  // A server leaves on plan and finishes its streams here. Each frame of these
  // would clear it, and the next request would be refused once more.
  test('a server that said it is leaving stays out though it is heard', () => {
    const evidence = new RouterEvidence(
      DEFAULT_EVIDENCE_SETTINGS,
      new Random(1),
    );
    evidence.note(target, 'unavailable', 0);
    evidence.noteResponse('i0', 1);
    expect(evidence.isSuspect('i0', 1)).toBe(true);
    expect(evidence.isSuspect('i0', 2_001)).toBe(false);
  });

  // A flapping server is back for a moment, gets requests from everyone, and
  // ends again: each round fails requests. Suspicion has to grow, and routers
  // must not probe it all in the same moment.
  test('a flapping server is tried ever more seldom, by spread probes', () => {
    const gaps: number[] = [];
    const evidence = new RouterEvidence(
      DEFAULT_EVIDENCE_SETTINGS,
      new Random(2),
    );
    let now = 0;
    for (let flap = 0; flap < 8; flap += 1) {
      evidence.note(target, 'unreachable', now);
      const start = now;
      while (evidence.takeDueProbes(now).length === 0) now += 50;
      gaps.push(now - start);
      evidence.noteResponse('i0', now);
      expect(evidence.isSuspect('i0', now)).toBe(false);
      now += 200;
    }
    expect(gaps[7]).toBeGreaterThan(20 * gaps[0]!);
    const firstProbes = Array.from({length: 200}, (_, seed) => {
      const router = new RouterEvidence(
        DEFAULT_EVIDENCE_SETTINGS,
        new Random(seed),
      );
      router.note(target, 'unreachable', 0);
      let at = 0;
      while (router.takeDueProbes(at).length === 0) at += 10;
      return at;
    });
    const most = countMost(firstProbes.map(at => Math.floor(at / 25)));
    expect(most).toBeLessThan(50);
  });
});

/** @returns how often the most frequent value stands in the list */
function countMost(values: readonly number[]): number {
  const counts = new Map<number, number>();
  for (const value of values) counts.set(value, (counts.get(value) ?? 0) + 1);
  return Math.max(...counts.values());
}

// A pool answers each attempt with a failure. Without a budget every request
// comes three times, and the pool stays overloaded after its fault has passed.
test('retries stay a fraction of first attempts', () => {
  const budget = new RetryBudget({retryFraction: 0.1});
  let retries = 0;
  for (let request = 0; request < 1_000; request += 1) {
    budget.noteFirstAttempt('chat');
    for (let retry = 0; retry < 2; retry += 1) {
      if (budget.trySpend('chat')) retries += 1;
    }
  }
  expect(retries).toBeGreaterThan(90);
  expect(retries).toBeLessThanOrEqual(1_000 * 0.1 + 10);
});

describe('early refusal', () => {
  const pool = makeConfiguration(1).content.pools[0]!;
  const slots = Int32Array.from([0, 1, 2, 3, 4, 5]);

  function makeLoaded(tokens: number): EarlyRefusal {
    const load = new RouterLoadView();
    load.applyDigest(new Uint8Array(6).fill(encodeLoad(tokens)), 0);
    return new EarlyRefusal(load, new Random(SEED));
  }

  // On the hour thousands of kiosks wake in one second against servers that
  // have minutes of work. Held until their deadline they all time out; told
  // one time to come back, they wake together again.
  test('kiosks that wake together are refused at once and come back spread', () => {
    const refusal = makeLoaded(400_000);
    const returns: number[] = [];
    for (let kiosk = 0; kiosk < 5_000; kiosk += 1) {
      const now = kiosk / 5;
      const failure = refusal.check({pool, slots}, 300, now + 10_000, now);
      expect(failure?.kind).toBe('deadlineUnreachable');
      returns.push(Math.floor((now + failure!.retryAfterMs) / 1_000));
    }
    expect(Math.min(...returns)).toBeGreaterThan(20);
    expect(countMost(returns)).toBeLessThan(500);
  });

  test('what may be served in time, or is not known, is placed', () => {
    const servers = {pool, slots};
    expect(makeLoaded(4_000).check(servers, 300, 10_000, 0)).toBeUndefined();
    const stale = makeLoaded(400_000);
    expect(stale.check(servers, 300, 30_000, 20_000)).toBeUndefined();
  });
});

describe('choice', () => {
  let hasher: KeyHasher;
  beforeAll(async () => {
    hasher = await loadKeyHasher();
  });

  function makeChoice(suspects: readonly string[] = []): ServerChoice {
    return new ServerChoice({
      policy: PLACEMENT_POLICIES.holdAndTake(hasher),
      hasher,
      load: new RouterLoadView(),
      random: new Random(SEED),
      isSuspect: server => suspects.includes(server.name),
    });
  }

  const choose = (
    choice: ServerChoice,
    servers: readonly BackendServer[],
    chat: string,
    change: {preferred?: string; excluded?: ReadonlySet<string>} = {},
  ): string | undefined => {
    const pools = makeConfiguration(1).content.pools;
    const request = {
      workspace: 'bakery',
      chat,
      estimatedTokens: 100,
      promptTokens: 50,
      returning: true,
    };
    const {preferred, excluded = new Set<string>()} = change;
    const set = {selector: 'all', pools, servers};
    return choice.choose({request, set, preferred, excluded}, 0)?.server.name;
  };

  // Two routers hold lists that differ by one server for some seconds. Chats
  // that come back through the other router find their context only when both
  // routers name the same server.
  test('routers with differing lists disagree only about the difference', () => {
    const all = listServers(12);
    const fewer = all.slice(0, 11);
    for (let chat = 0; chat < 500; chat += 1) {
      const whole = choose(makeChoice(), all, `c${chat}`);
      const part = choose(makeChoice(), fewer, `c${chat}`);
      if (whole !== 's11') expect(part).toBe(whole);
    }
  });

  test('pointers are followed only where selectors and evidence allow', () => {
    const servers = listServers(4);
    const first = choose(makeChoice(), servers, 'c');
    expect(choose(makeChoice(), servers, 'c', {preferred: 's3'})).toBe('s3');
    expect(choose(makeChoice(), servers, 'c', {preferred: 'gone'})).toBe(first);
    const doubting = makeChoice(['s3']);
    expect(choose(doubting, servers, 'c', {preferred: 's3'})).not.toBe('s3');
    const distrustful = makeChoice(servers.map(({name}) => name));
    expect(choose(distrustful, servers, 'c')).toBeDefined();
    const excluded = new Set(servers.map(({name}) => name));
    expect(choose(makeChoice(), servers, 'c', {excluded})).toBeUndefined();
  });
});
