import {
  type BackendServer,
  isDirect,
  type Membership,
  SERVER_STATE,
} from '@lovagepond/core';
import {lovagepond} from '@lovagepond/protocol';
import {applyMembership} from '@lovagepond/router/membership';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {MembershipLog} from '../../membership_log.js';
import {type Announcement} from '../../membership_record.js';
import {MembershipRegistry} from '../../membership_registry.js';
import {UpdateEncoder} from '../../update_encoder.js';

const LEASE_MS = 6_000;

function makeAnnouncement(name: string, hasNoSidecar: boolean): Announcement {
  return {
    name,
    incarnation: name,
    pool: 'p',
    labels: {},
    availabilityZone: 'z',
    region: 'r',
    address: `${name}:1`,
    state: SERVER_STATE.READY,
    runningTokens: 0,
    queuedTokens: 0,
    capacityTokens: 0,
    models: [],
    ...(hasNoSidecar && {directSlots: 4, place: name}),
  };
}

class Member {
  log = new MembershipLog();
  registry = new MembershipRegistry({leaseMs: LEASE_MS}, this.log);
  /** Version that the leader has sent to this member. */
  heard = 0;

  /** Loses its memory, as by a restart. */
  forget(): void {
    this.log = new MembershipLog();
    this.registry = new MembershipRegistry({leaseMs: LEASE_MS}, this.log);
    this.heard = 0;
  }
}

class Router {
  readonly #encoder = new UpdateEncoder();
  #membership: Membership = {version: 0, servers: new Map()};
  #log: MembershipLog | undefined;
  #heard = 0;

  /** Subscribes anew if the member has lost its list. */
  listen({log}: Member): void {
    if (this.#log !== log) this.#heard = 0;
    this.#log = log;
    const change = log.changesSince(this.#heard, '');
    if (!change) return;
    this.#heard = change.version;
    const bytes = this.#encoder.encode({kind: 'membership', change});
    const {membership} = lovagepond.v1.ControlUpdate.decode(bytes);
    this.#membership = applyMembership(this.#membership, membership ?? {});
  }

  names(areDirect: boolean): string[] {
    const servers: BackendServer[] = [...this.#membership.servers.values()];
    return servers
      .filter(server => isDirect(server) === areDirect)
      .map(({name}) => name)
      .sort();
  }
}

/** Members with a replicated table of servers, and a router at each. */
class Group {
  readonly members = [new Member(), new Member(), new Member()];
  readonly routers = [new Router(), new Router(), new Router()];
  /** Servers without a sidecar that have joined and not ended. */
  readonly table = new Set<string>();
  #hasJoined = false;
  #leader = 0;
  #term = 0;

  constructor() {
    this.takeOver(0, false);
  }

  get #registry(): MembershipRegistry {
    return this.members[this.#leader]!.registry;
  }

  join(name: string): void {
    this.#hasJoined = true;
    this.table.add(name);
    this.#registry.announce(makeAnnouncement(name, true), 'ready', 0);
  }

  announceSidecar(name: string): void {
    this.#registry.announce(makeAnnouncement(name, false), 'ready', 0);
  }

  /** @param isTold whether the leader's list is updated before it is lost */
  end(name: string, isTold: boolean): void {
    this.table.delete(name);
    if (isTold) this.#registry.remove(name, 0);
  }

  takeOver(at: number, isNew: boolean): void {
    const member = this.members[at]!;
    if (isNew) member.forget();
    this.#leader = at;
    this.#term += 1;
    const known = [...this.table].map(name => makeAnnouncement(name, true));
    const replicated = this.#hasJoined ? known : undefined;
    member.registry.takeOver(this.#term, 0, replicated);
    for (const other of this.members) other.heard = 0;
  }

  /** Restarts a follower, which loses its list. */
  restart(at: number): void {
    if (at !== this.#leader) this.members[at]!.forget();
  }

  listen(at: number): void {
    const member = this.members[at]!;
    const leader = this.members[this.#leader]!;
    const change =
      member !== leader && leader.log.changesSince(member.heard, '');
    if (change) {
      member.heard = change.version;
      member.log.mirror(change);
    }
    this.routers[at]!.listen(member);
  }
}

// Guards against routers that keep a server for a lease after its end was
// confirmed, as all members have restarted and none has a list.
test('a leader without a list tells which servers have ended', () => {
  const group = new Group();
  group.join('s');
  group.announceSidecar('x');
  group.listen(0);
  group.end('s', false);
  group.takeOver(0, true);
  group.listen(0);
  expect(group.routers[0]!.names(true)).toEqual([]);
  expect(group.routers[0]!.names(false)).toEqual(['x']);
});

const KINDS = ['join', 'end', 'lose', 'sidecar', 'restart', 'listen', 'leader'];
const step = fc.record({
  kind: fc.constantFrom(...KINDS),
  n: fc.nat(4),
  flag: fc.boolean(),
});

// Guards against servers that come back, or stay away, with a change of leader,
// whatever each member has heard before.
test('routers list the joined servers once they hear the new leader', () => {
  const run = (steps: {kind: string; n: number; flag: boolean}[]): void => {
    const group = new Group();
    const kept = group.routers.map(() => new Set<string>());
    const handlers: Record<string, (n: number, flag: boolean) => void> = {
      join: n => {
        group.join(`s${n}`);
      },
      end: n => {
        group.end(`s${n}`, true);
      },
      // The leader is lost right after the end of the server is committed.
      lose: (n, flag) => {
        group.end(`s${n}`, false);
        group.takeOver(n % 3, flag);
      },
      sidecar: n => {
        group.announceSidecar(`x${n}`);
      },
      restart: n => {
        group.restart(n % 3);
      },
      listen: n => {
        group.listen(n % 3);
      },
      leader: (n, flag) => {
        group.takeOver(n % 3, flag);
      },
    };
    for (const {kind, n, flag} of steps) {
      handlers[kind]?.(n, flag);
      for (const [at, router] of group.routers.entries()) {
        for (const name of router.names(false)) kept[at]!.add(name);
      }
    }
    group.takeOver(1, false);
    for (const at of group.members.keys()) group.listen(at);
    for (const [at, router] of group.routers.entries()) {
      expect(router.names(true)).toEqual([...group.table].sort());
      // A list that may lack servers with a sidecar takes none away.
      expect(router.names(false)).toEqual(
        expect.arrayContaining([...kept[at]!]),
      );
    }
  };
  fc.assert(fc.property(fc.array(step, {maxLength: 40, size: 'max'}), run), {
    numRuns: 500,
  });
});
