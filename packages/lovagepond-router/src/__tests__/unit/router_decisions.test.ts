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

  test('the selector with the highest priority decides on pools and servers', () => {
    expect(namesFor('bakery', 'chat', 'vip-1')).toEqual(['s0']);
    expect(namesFor('bakery', 'chat', 'c-1')).toEqual(['s2']);
    expect(namesFor('garden', 'chat', 'vip-1')).toEqual(['s2']);
  });

  // Guards against chats that leave the regions of their selector or of their
  // workspace; with both, both bind.
  test('servers outside of the allowed regions are not eligible', () => {
    const regions = {allowedRegions: ['one', 'two']};
    const restricted = makeConfiguration(1, {
      pools: [{name: 'p', kind: 'engine'}],
      workspaces: [
        {name: 'bakery'},
        {name: 'garden', allowedRegions: ['two', 'three']},
      ],
      requestKinds: [{name: 'chat'}, {name: 'free'}],
      selectors: [
        {
          name: 'chats',
          workspaces: ['*'],
          requestKinds: ['chat'],
          pools: '',
          ...regions,
        },
        {name: 'rest', workspaces: ['*'], requestKinds: ['free'], pools: ''},
      ],
    });
    const placed = ['one', 'two', 'three'].map((region, at) =>
      makeServer(at, {pool: 'p', region}),
    );
    const allowed = new Eligibility(restricted, makeMembership(placed));
    const listed = (workspace: string, kind: string): unknown => {
      const verdict = allowed.find(workspace, kind, '');
      return verdict.ok && verdict.eligible.set.servers.map(one => one.name);
    };
    expect(listed('bakery', 'chat')).toEqual(['s0', 's1']);
    expect(listed('garden', 'chat')).toEqual(['s1']);
    expect(listed('garden', 'free')).toEqual(['s1', 's2']);
    expect(listed('bakery', 'free')).toEqual(['s0', 's1', 's2']);
  });

  // A misspelled kind that matched the wildcard selector would be sent as a
  // repeatable call and dispatched again after a lost answer.
  test('unknown names are refused and match no wildcard selector', () => {
    expect(namesFor('nobody', 'chat', '')).toBe('unknownWorkspace');
    expect(namesFor('bakery', 'reedem', '')).toBe('badRequest');
  });
});

describe('revisions', () => {
  const settings = {islandPolicy: 'refuse', islandAfterMs: 1_000} as const;

  // Guards against undoing an operator's change when an older configuration
  // arrives late from the control plane or from a sidecar that was cut off.
  test('no order of arrival restores an older configuration', () => {
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

  // A router restarts while a control-plane member in a minority still has
  // revision 1. With it, the router would send requests to servers that
  // revision 2 forbids.
  test('nothing is served before a majority-confirmed revision is installed', () => {
    const held = new RouterRevisions(settings);
    held.noteControlMessage(0);
    held.install(encodeConfiguration(makeConfiguration(1)));
    expect(held.mayServe(0)).toBe(false);
    held.confirm(2);
    expect(held.mayServe(0)).toBe(false);
    held.install(encodeConfiguration(makeConfiguration(2)));
    expect(held.mayServe(0)).toBe(true);
    expect(held.mayServe(1_001)).toBe(false);
    const serveSettings = {...settings, islandPolicy: 'serve'} as const;
    const serving = new RouterRevisions(serveSettings);
    serving.confirm(0);
    expect(serving.mayServe(1_001)).toBe(true);
  });
});

describe('evidence', () => {
  const server = makeServer(0);
  const target = targetOf(server);

  // A network device between router and server drops idle connections: requests
  // over them hang while new connections work. Suspecting the server would
  // empty a healthy pool. Not suspecting a server that refuses connections
  // would lose requests until its lease expires.
  test('a silent connection makes no server suspect, a failed new one does', () => {
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

  // A draining server finishes its open streams. If their frames cleared the
  // mark, the next request would be sent there and refused again.
  test('a draining server is avoided although it still sends frames', () => {
    const evidence = new RouterEvidence(
      DEFAULT_EVIDENCE_SETTINGS,
      new Random(1),
    );
    evidence.note(target, 'unavailable', 0);
    evidence.noteResponse('i0', 1);
    expect(evidence.isSuspect('i0', 1)).toBe(true);
    expect(evidence.isSuspect('i0', 2_001)).toBe(false);
  });

  // A flapping server recovers briefly, receives requests from all routers and
  // fails again, and each round fails requests. The time between probes must
  // grow, and routers must not all probe at the same time.
  test('a flapping server is probed less and less often, at random times', () => {
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

/** @returns how often the most frequent value occurs in the list */
function countMost(values: readonly number[]): number {
  const counts = new Map<number, number>();
  for (const value of values) counts.set(value, (counts.get(value) ?? 0) + 1);
  return Math.max(...counts.values());
}

// A pool fails every attempt. Without a budget it would receive each request
// three times and stay overloaded after its fault has passed.
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

  // On the hour, thousands of callers start within one second while the servers
  // have minutes of queued work. Queued until their deadline, all requests
  // would time out. With the same retry delay, they would all return together.
  test('callers that start together are refused at once and retry at random times', () => {
    const refusal = makeLoaded(400_000);
    const returns: number[] = [];
    for (let caller = 0; caller < 5_000; caller += 1) {
      const now = caller / 5;
      const failure = refusal.check({pool, slots}, 300, now + 10_000, now);
      expect(failure?.kind).toBe('deadlineUnreachable');
      returns.push(Math.floor((now + failure!.retryAfterMs) / 1_000));
    }
    expect(Math.min(...returns)).toBeGreaterThan(20);
    expect(countMost(returns)).toBeLessThan(500);
  });

  test('a request is placed when it may be in time or the load is unknown', () => {
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

  // For some seconds, two routers have lists that differ by one server. Chats
  // that return through the other router find their context only when both
  // routers choose the same server.
  test('routers with different lists disagree only on the differing servers', () => {
    const all = listServers(12);
    const fewer = all.slice(0, 11);
    for (let chat = 0; chat < 500; chat += 1) {
      const whole = choose(makeChoice(), all, `c${chat}`);
      const part = choose(makeChoice(), fewer, `c${chat}`);
      if (whole !== 's11') expect(part).toBe(whole);
    }
  });

  test('pointers are followed only to eligible servers that are not suspected', () => {
    const servers = listServers(4);
    const first = choose(makeChoice(), servers, 'c');
    expect(choose(makeChoice(), servers, 'c', {preferred: 's3'})).toBe('s3');
    expect(choose(makeChoice(), servers, 'c', {preferred: 'gone'})).toBe(first);
    const choiceWithSuspect = makeChoice(['s3']);
    expect(choose(choiceWithSuspect, servers, 'c', {preferred: 's3'})).not.toBe(
      's3',
    );
    const choiceWithAllSuspect = makeChoice(servers.map(({name}) => name));
    expect(choose(choiceWithAllSuspect, servers, 'c')).toBeDefined();
    const excluded = new Set(servers.map(({name}) => name));
    expect(choose(makeChoice(), servers, 'c', {excluded})).toBeUndefined();
  });
});
