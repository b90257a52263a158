import * as fc from 'fast-check';
import {type BackendServer, type ServerState} from '@lovagepond/core';
import {expect, test} from 'vitest';
import {FlapDamper} from '../../membership_flapping.js';
import {type MembershipChange, MembershipLog} from '../../membership_log.js';
import {type Announcement} from '../../membership_record.js';
import {MembershipRegistry} from '../../membership_registry.js';

const LEASE_MS = 3_000;
const SEED = 20_262;

function makeAnnouncement(
  name: string,
  changes: Partial<Announcement> = {},
): Announcement {
  return {
    name,
    incarnation: 'i1',
    pool: 'p',
    labels: {},
    availabilityZone: 'z',
    region: 'r',
    address: 'a',
    state: 'ready',
    runningTokens: 100,
    queuedTokens: 0,
    capacityTokens: 1_000,
    models: [],
    ...changes,
  };
}

class Leader {
  readonly log = new MembershipLog();
  readonly registry = new MembershipRegistry({leaseMs: LEASE_MS}, this.log);

  announce(names: readonly string[], now: number, state?: ServerState): void {
    for (const name of names) {
      this.registry.announce(
        makeAnnouncement(name, state && {state}),
        'ready',
        now,
      );
    }
  }

  /** Renews all servers once a second. */
  run(names: readonly string[], from: number, to: number): void {
    for (let now = from; now <= to; now += 1_000) {
      this.announce(names, now);
      this.registry.tick(now);
    }
  }

  names(): string[] {
    return [...this.log.servers()].map(server => server.name);
  }
}

function startLeader(term = 1): Leader {
  const leader = new Leader();
  leader.registry.takeOver(term, 0);
  return leader;
}

const FLEET = Array.from({length: 640}, (_, n) => `server-${n}`);

// Guards against side effects on the other servers when a switch fails and
// disconnects 40 of 640. The 40 must be removed in one change. The states and
// slots of the other 600 must not change, and the mean that bounds their load
// must not include the failed servers.
test('the failure of a whole rack does not affect other servers', () => {
  const leader = startLeader();
  leader.run(FLEET, 0, 5_000);
  const before = leader.log.version;
  const rack = new Set(FLEET.slice(100, 140));
  const rest = FLEET.filter(name => !rack.has(name));
  leader.run(rest, 6_000, 10_000);
  const change = leader.log.changesSince(before, '');
  expect(change).toMatchObject({whole: false, members: []});
  expect(new Set(change?.gone)).toEqual(rack);
  const mean = leader.registry.poolMean('p', 10_000);
  expect(mean).toMatchObject({meanTokens: 100, readyServers: 600});
  expect(leader.registry.loadReport(10_000).loads).toHaveLength(640);
  leader.announce(['new'], 10_000);
  expect(leader.log.get('new')?.slot).toBe(640);
  leader.run([...rest, 'new'], 11_000, 30_000);
  leader.announce(['newer'], 30_000);
  expect(leader.log.get('newer')?.slot).toBe(100);
});

// Guards against emptied server lists when the leader's network fails towards
// the sidecars only. Every lease lapses, although all servers are healthy.
test('expiry is suspended when most servers lapse at once', () => {
  const leader = startLeader();
  leader.run(FLEET, 0, 5_000);
  leader.announce(['server-0'], 6_000, 'draining');
  leader.registry.tick(12_000);
  expect(leader.names()).toEqual(FLEET.slice(1));
  leader.run(FLEET.slice(1), 13_000, 14_000);
  expect(leader.names()).toHaveLength(639);
  leader.registry.tick(20_000);
  leader.registry.tick(20_000 + 10 * LEASE_MS);
  expect(leader.names()).toEqual([]);
});

// Guards against servers that are dropped by a change of leader. The new leader
// mirrored the list, and must keep every server and its slot for one lease
// before it removes the failed one.
test('a new leader removes no server before one lease has passed', () => {
  const old = startLeader();
  old.run(['a', 'b', 'c', 'd'], 0, 5_000);
  const next = new Leader();
  next.log.mirror(old.log.changesSince(0, '') as MembershipChange);
  const held = next.log.version;
  next.registry.takeOver(2, 9_000);
  expect(next.log.version).toBeGreaterThan(old.log.version);
  next.run(['d', 'c', 'a'], 9_500, 11_500);
  expect(next.log.changesSince(held, '')).toMatchObject({
    members: [],
    gone: [],
  });
  next.run(['a', 'c', 'd'], 12_500, 13_500);
  expect(next.names()).toEqual(['a', 'c', 'd']);
  expect(next.log.get('d')?.slot).toBe(3);
});

// Guards against a truncated list after a restart of all members, when the
// leader starts without one. A router that holds the previous list must not get
// the first announced server as the whole list.
test('a leader without a list never sends an incomplete list as whole', () => {
  const leader = startLeader();
  leader.announce(['a'], 100);
  expect(leader.log.changesSince(0, '')?.whole).toBe(false);
  leader.run(['a', 'b'], 1_000, 3_000);
  expect(leader.log.changesSince(0, '')).toMatchObject({
    whole: true,
    members: [{name: 'a'}, {name: 'b'}],
  });
});

test('a flapping server is held back unless its pool needs it', () => {
  const leader = startLeader();
  const flap = (name: string, pool: string, now: number): void => {
    const incarnation = `i${now}`;
    leader.registry.announce(
      makeAnnouncement(name, {pool, incarnation}),
      'ready',
      now,
    );
  };
  for (let now = 0; now < 8_000; now += 1_000) {
    leader.announce(['a', 'b'], now);
    flap('c', 'p', now);
    flap('lonely', 'q', now);
  }
  expect(leader.log.get('c')?.state).toBe('joining');
  expect(leader.registry.poolMean('p', 7_000).readyServers).toBe(2);
  expect(leader.log.get('lonely')?.state).toBe('ready');
});

// Guards against a penalty without a ceiling, which after many flaps would hold
// a server back long after it became stable.
test('no server is held back beyond the limit after its last flap', () => {
  const settings = {halfLifeMs: 15_000, maxHoldMs: 60_000};
  const flaps = fc.array(fc.nat(500), {maxLength: 100, size: 'max'});
  fc.assert(
    fc.property(flaps, gaps => {
      const damper = new FlapDamper(settings);
      let now = 0;
      for (const gap of gaps) {
        now += gap;
        damper.add('s', now);
      }
      expect(damper.isHeld('s', now + settings.maxHoldMs + 1)).toBe(false);
    }),
    {seed: SEED, numRuns: 300},
  );
});

/** A subscriber's list, built from the changes that it received. */
class Subscriber {
  version = 0;
  list = new Map<string, BackendServer>();

  constructor(readonly pool: string) {}

  update(log: MembershipLog): void {
    const change = log.changesSince(this.version, this.pool);
    if (!change) return;
    this.version = change.version;
    if (change.whole) this.list.clear();
    for (const name of change.gone) this.list.delete(name);
    for (const server of change.members) this.list.set(server.name, server);
  }
}

// Guards against subscribers whose lists diverge from the leader's. Servers
// join, change pool, restart and lapse, and leaders change. After each update,
// a follower and subscribers of one or all pools must hold the leader's
// servers.
test('deltas keep followers and subscribers consistent with the leader', () => {
  const step = fc.record({
    kind: fc.constantFrom('announce', 'wait', 'listen', 'takeOver'),
    n: fc.nat(99),
  });
  const run = (steps: {kind: string; n: number}[]): void => {
    let leader = startLeader();
    const follower = new MembershipLog();
    const subscribers = ['', 'pool-0', 'pool-1'].map(p => new Subscriber(p));
    let now = LEASE_MS;
    let term = 1;
    leader.registry.tick(now);
    const listen = (): void => {
      const change = leader.log.changesSince(follower.version, '');
      if (change) follower.mirror(change);
      for (const subscriber of subscribers) subscriber.update(follower);
    };
    const handlers: Record<string, (n: number) => void> = {
      announce: n => {
        const pool = `pool-${n % 2}`;
        const name = `server-${n % 7}`;
        const changes = {pool, incarnation: `i${n % 3}`};
        leader.registry.announce(makeAnnouncement(name, changes), 'ready', now);
      },
      wait: n => {
        now += n * 100;
        leader.registry.tick(now);
      },
      listen,
      takeOver: () => {
        listen();
        const next = new Leader();
        const whole = leader.log.changesSince(0, '');
        if (whole) next.log.mirror(whole);
        next.registry.takeOver((term += 1), now);
        leader = next;
        now += LEASE_MS;
        leader.registry.tick(now);
      },
    };
    for (const {kind, n} of steps) handlers[kind]?.(n);
    listen();
    for (const subscriber of subscribers) {
      const wanted = [...leader.log.servers()].filter(
        server => subscriber.pool === '' || server.pool === subscriber.pool,
      );
      const held = [...subscriber.list.values()];
      const byName = (a: BackendServer, b: BackendServer): number =>
        a.name < b.name ? -1 : 1;
      expect(held.sort(byName)).toEqual(wanted.sort(byName));
    }
  };
  fc.assert(fc.property(fc.array(step, {maxLength: 60, size: 'max'}), run), {
    seed: SEED,
    numRuns: 1_000,
  });
});

// Guards against servers of an evacuated zone that get requests: those listed
// at the evacuation, those that appear during it, and those that a new leader
// takes over.
test('an evacuated zone has no ready server at any leader', () => {
  const zones = ['zone-0', 'zone-1', 'zone-2'];
  const step = fc.record({
    kind: fc.constantFrom('announce', 'evacuate', 'resume', 'takeOver'),
    n: fc.nat(99),
  });
  const run = (steps: {kind: string; n: number}[]): void => {
    let leader = startLeader();
    const evacuated = new Set<string>();
    const running = new Map<string, Announcement>();
    let term = 1;
    const wantedOf = (server: Pick<BackendServer, 'availabilityZone'>) =>
      evacuated.has(server.availabilityZone) ? 'draining' : 'ready';
    const announce = (one: Announcement): void => {
      running.set(one.name, one);
      leader.registry.announce(one, wantedOf(one), 0);
    };
    const handlers: Record<string, (n: number) => void> = {
      announce: n => {
        const availabilityZone = zones[n % 3] ?? '';
        announce(makeAnnouncement(`server-${n % 8}`, {availabilityZone}));
      },
      evacuate: n => {
        evacuated.add(zones[n % 3] ?? '');
        leader.registry.applyWantedStates(wantedOf);
      },
      resume: n => {
        evacuated.delete(zones[n % 3] ?? '');
        leader.registry.applyWantedStates(wantedOf);
      },
      takeOver: () => {
        const next = new Leader();
        const whole = leader.log.changesSince(0, '');
        if (whole) next.log.mirror(whole);
        leader = next;
        const known = [...running.values()];
        leader.registry.takeOver((term += 1), 0, known, wantedOf);
      },
    };
    for (const {kind, n} of steps) {
      handlers[kind]?.(n);
      const states = [...leader.log.servers()].map(server => server.state);
      const wanted = [...leader.log.servers()].map(wantedOf);
      expect(states).toEqual(wanted);
      const {readyServers} = leader.registry.poolMean('p', 0);
      const ready = states.filter(state => state === 'ready');
      expect(readyServers).toBe(ready.length);
    }
  };
  fc.assert(fc.property(fc.array(step, {maxLength: 40}), run));
});
