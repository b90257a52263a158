import {type Clock, type Command, configurationSchema} from '@lovagepond/core';
import {expect, test} from 'vitest';
import {
  decodeResult,
  encodeCommand,
  END_SERVER_COMMAND,
  EVACUATION_COMMAND,
  INSTALL_COMMAND,
  LOG_VERSION,
} from '../../control_commands.js';
import {CONTROL_DEFAULTS} from '../../control_settings.js';
import {ControlStateMachine} from '../../control_state_machine.js';
import {type DirectAnnouncement, DirectServers} from '../../direct_servers.js';
import {MembershipLog} from '../../membership_log.js';
import {MembershipRegistry} from '../../membership_registry.js';
import {type Proposer} from '../../proposer.js';

const ROUTERS = ['r1', 'r2', 'r3'];
const DURATION_MS = 3_000;

const CONTENT = configurationSchema.parse({
  pools: [
    {
      name: 'p',
      kind: 'engine',
      warmUp: {durationMs: DURATION_MS, maxRequestsPerSecond: 21},
    },
  ],
});

const ANNOUNCEMENT: DirectAnnouncement = {
  incarnation: 's',
  startedAtMs: undefined,
  pool: 'p',
  address: 'a:1',
  availabilityZone: 'z',
  region: 'r',
  slots: 4,
  version: '1',
  models: [],
  leaving: false,
  sequence: 1,
};

/** A leader that commits each command at once. */
class Leader {
  now = 0;
  readonly machine = new ControlStateMachine(CONTROL_DEFAULTS, () => this.now);
  readonly log = new MembershipLog();
  readonly registry = new MembershipRegistry({leaseMs: 60_000}, this.log);
  readonly servers: DirectServers;
  known: readonly string[] = ROUTERS;
  #index = 0;

  constructor() {
    const clock: Clock = {now: () => this.now, wallTime: () => this.now};
    this.servers = new DirectServers({
      clock,
      machine: this.machine,
      registry: this.registry,
      proposer: {
        leads: () => true,
        leaderAddress: () => '',
        propose: (command: Command<unknown>, payload: unknown) =>
          Promise.resolve({
            kind: 'committed',
            value: this.run(command, payload),
          }),
      } as unknown as Proposer,
      hasTakenOver: () => true,
      convergence: {namesOf: () => this.known},
      oldestLogVersion: () => LOG_VERSION,
      publish: () => {},
    });
    this.run(INSTALL_COMMAND, {version: 1, source: '', content: CONTENT});
    this.takeOver(1);
  }

  takeOver(term: number): void {
    const known = this.servers.replicatedServers();
    this.registry.takeOver(term, this.now, known);
  }

  run<Payload>(command: Command<Payload>, payload: Payload): unknown {
    const timeMs = this.machine.time.stamp(this.now);
    const stamp = {timeMs, wallTimeMs: 0, term: 1};
    const bytes = encodeCommand(command, payload, stamp);
    return decodeResult(this.machine.apply(bytes, ++this.#index));
  }

  async tick(now: number): Promise<void> {
    this.now = now;
    await this.servers.tick([], now);
  }

  get routers(): readonly string[] | undefined {
    const warmUp = this.log.get('s')?.warmUp;
    return warmUp && [...warmUp.routers].sort();
  }
}

test('a server that has just started lists the routers that may send', async () => {
  const leader = new Leader();
  await leader.servers.announce({...ANNOUNCEMENT, warmUpLeftMs: 2_000});
  expect(leader.routers).toEqual(ROUTERS);
  await leader.tick(1_999);
  expect(leader.routers).toEqual(ROUTERS);
  await leader.tick(2_000);
  expect(leader.routers).toBeUndefined();
});

test('a server that joins warm has no limit, nor has it at a new leader', async () => {
  const leader = new Leader();
  await leader.servers.announce({...ANNOUNCEMENT, warmUpLeftMs: 0});
  expect(leader.routers).toBeUndefined();
  leader.takeOver(2);
  expect(leader.routers).toBeUndefined();
});

test('a server that becomes cold again is limited again', async () => {
  const leader = new Leader();
  await leader.servers.announce({...ANNOUNCEMENT, warmUpLeftMs: 0});
  leader.now = 10_000;
  const again = {...ANNOUNCEMENT, warmUpLeftMs: 1_000, sequence: 2};
  await leader.servers.announce(again);
  expect(leader.routers).toEqual(ROUTERS);
  const late = {...ANNOUNCEMENT, warmUpLeftMs: 0, sequence: 1};
  await leader.servers.announce(late);
  expect(leader.routers).toEqual(ROUTERS);
});

// Guards against all routers sending at once to a zone whose servers lost their
// caches during an evacuation, before the first report says so.
test('a zone that returns to service warms up, also at a new leader', async () => {
  const leader = new Leader();
  await leader.servers.announce({...ANNOUNCEMENT, warmUpLeftMs: 0});
  const evacuation = {digest: '', zone: 'z', warmUpRouters: ['r9']};
  const evacuate = {...evacuation, operationId: 'o1', evacuated: true};
  const resume = {...evacuation, operationId: 'o2', evacuated: false};
  leader.run(EVACUATION_COMMAND, evacuate);
  await leader.tick(10_000);
  leader.run(EVACUATION_COMMAND, resume);
  leader.servers.refreshWarmUps(leader.now);
  expect(leader.routers).toEqual(ROUTERS);
  leader.takeOver(2);
  expect(leader.routers).toEqual(ROUTERS);
  await leader.tick(10_000 + DURATION_MS);
  expect(leader.routers).toBeUndefined();
});

// Guards against a server that gets nothing when it turns cold, as no router was
// known when it joined.
test('a server that joined before all routers gets its routers later', async () => {
  const leader = new Leader();
  leader.known = [];
  await leader.tick(0);
  await leader.servers.announce(ANNOUNCEMENT);
  expect(leader.routers).toEqual([]);
  leader.known = ROUTERS;
  await leader.tick(4_999);
  const again = {...ANNOUNCEMENT, warmUpLeftMs: 2_000, sequence: 2};
  await leader.servers.announce(again);
  expect(leader.routers).toEqual([]);
  await leader.tick(5_000);
  await leader.tick(5_100);
  expect(leader.routers).toEqual(ROUTERS);
  leader.known = ['r7', 'r8', 'r9'];
  await leader.tick(6_000);
  expect(leader.routers).toEqual(ROUTERS);
});

// Guards against a single router for a server, as the others were about to report.
test('a server that joins gets the few known routers only when no more appear', async () => {
  const leader = new Leader();
  leader.known = ['r1'];
  await leader.tick(1_000);
  await leader.servers.announce(ANNOUNCEMENT);
  expect(leader.routers).toEqual([]);
  const other = {...ANNOUNCEMENT, incarnation: 't', address: 'b:1'};
  leader.now = 3_000;
  await leader.servers.announce(other);
  expect(leader.log.get('t')?.warmUp?.routers).toEqual(['r1']);
});

// Guards against routers that are named while those of the returned zone are in
// force.
test('a server of a zone that has just returned keeps the routers of the zone', async () => {
  const leader = new Leader();
  leader.known = [];
  await leader.servers.announce({...ANNOUNCEMENT, warmUpLeftMs: 0});
  const evacuation = {digest: '', zone: 'z', warmUpRouters: ['r9']};
  const evacuate = {...evacuation, operationId: 'o1', evacuated: true};
  const resume = {...evacuation, operationId: 'o2', evacuated: false};
  leader.run(EVACUATION_COMMAND, evacuate);
  leader.now = 10_000;
  leader.run(EVACUATION_COMMAND, resume);
  leader.known = ROUTERS;
  await leader.tick(10_100);
  await leader.tick(10_200);
  expect(leader.routers).toEqual(['r9']);
});

// Guards against requests to a server that was said to be leaving: its lease
// expires, and a report from before it left arrives late.
test('a leaving server does not join again once its lease has expired', async () => {
  const leader = new Leader();
  await leader.servers.announce(ANNOUNCEMENT);
  await leader.servers.announce({...ANNOUNCEMENT, sequence: 3, leaving: true});
  await leader.servers.tick(['s'], 1_000);
  await leader.servers.announce({...ANNOUNCEMENT, sequence: 2});
  expect(leader.machine.directServers.list()).toEqual([]);
  expect(leader.log.get('s')).toBeUndefined();
});

test('a server that does not leave joins again after its lease expired', async () => {
  const leader = new Leader();
  await leader.servers.announce(ANNOUNCEMENT);
  await leader.servers.tick(['s'], 1_000);
  await leader.servers.announce({...ANNOUNCEMENT, sequence: 2});
  expect(leader.machine.directServers.get('s')?.leaving).toBe(false);
});

// Guards against requests to a server that reported its end: the leader commits
// and acknowledges the report, and is lost before it tells its followers' lists.
test('a new leader does not list a server that ended under the former one', async () => {
  const leader = new Leader();
  await leader.servers.announce(ANNOUNCEMENT);
  const other = {...ANNOUNCEMENT, incarnation: 't', address: 'b:1'};
  await leader.servers.announce(other);
  leader.run(END_SERVER_COMMAND, {name: 's'});
  leader.takeOver(2);
  expect([...leader.log.servers()].map(({name}) => name)).toEqual(['t']);
  expect(leader.registry.has('s')).toBe(false);
});
