import fc from 'fast-check';
import {afterEach, beforeEach, expect, test, vi} from 'vitest';
import {
  ConfigurationDocuments,
  type DocumentAnswer,
  type InstallAnswer,
  type UncheckedDocument,
} from '../../configuration_documents.js';
import {ControlCluster, settle} from '../model/control_cluster.js';

const RUNS = 300;
const MEMBERS = 3;
const SEED = 20_261_203;

/** A request of an operator, or a fault of a member. */
type Step =
  | {readonly kind: 'install'; readonly version: number; readonly label: string}
  /** Sent to the leader, which crashes before it answers. */
  | {readonly kind: 'lostAnswer'; readonly version: number}
  | {readonly kind: 'invalid'; readonly version: number}
  | {readonly kind: 'read'; readonly member: number}
  | {readonly kind: 'crash'; readonly member: number}
  /** Silently partitions a member, and reconnects the one cut off before. */
  | {readonly kind: 'cut'; readonly member: number}
  | {readonly kind: 'heal'}
  /** A member loses its disk; waits until its former identity is removed. */
  | {readonly kind: 'wipe'; readonly member: number}
  /** A member loses its disk; waits only until its new identity votes. */
  | {readonly kind: 'wipeOnly'; readonly member: number};

const member = fc.nat(MEMBERS - 1);
const version = fc.integer({min: 1, max: 30});

const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  fc.record({
    kind: fc.constant('install' as const),
    version,
    label: fc.constantFrom('one', 'other'),
  }),
  fc.record({kind: fc.constant('lostAnswer' as const), version}),
  fc.record({kind: fc.constant('invalid' as const), version}),
  fc.record({kind: fc.constant('read' as const), member}),
  fc.record({kind: fc.constant('crash' as const), member}),
  fc.record({kind: fc.constant('cut' as const), member}),
  fc.constant({kind: 'heal' as const}),
  fc.record({kind: fc.constant('wipe' as const), member}),
);

function makeDocument(number: number, label: string): UncheckedDocument {
  const name = `v${number}-${label}`;
  return {
    version: number,
    source: name,
    content: {workspaces: [{name}]},
  };
}

/** Invalid, as two workspaces share an API key, which must identify one. */
function makeInvalidDocument(number: number): UncheckedDocument {
  const workspaces = ['a', 'b'].map(name => ({
    name,
    apiKeys: ['the-same-key-of-both'],
  }));
  return {version: number, source: 'invalid', content: {workspaces}};
}

/** Checks the documents that operators read against the accepted ones. */
class History {
  #accepted = 0;
  readonly #sources = new Map<number, string>();

  recordInstall(answer: InstallAnswer | undefined): void {
    if (answer?.kind !== 'accepted') return;
    this.#accepted = Math.max(this.#accepted, answer.version);
  }

  checkRead(answer: DocumentAnswer | undefined, acceptedBefore: number): void {
    if (answer?.kind !== 'found') return;
    const {version: held = 0, source = ''} = answer.document ?? {};
    expect(
      held,
      'read an older version than was accepted',
    ).toBeGreaterThanOrEqual(acceptedBefore);
    expect(source, 'read an invalid document').not.toBe('invalid');
    if (held === 0) return;
    const known = this.#sources.get(held) ?? source;
    this.#sources.set(held, known);
    expect(source, 'read other content under the same version').toBe(known);
  }

  get accepted(): number {
    return this.#accepted;
  }
}

class Simulation {
  readonly #cluster: ControlCluster;
  readonly #history = new History();

  constructor(cluster: ControlCluster) {
    this.#cluster = cluster;
  }

  readonly #handlers: {
    readonly [Kind in Step['kind']]: (
      step: Extract<Step, {kind: Kind}>,
    ) => Promise<void>;
  } = {
    install: async ({version: number, label}) => {
      const leader = await this.#cluster.untilLeader();
      const documents = documentsOf(leader);
      const answer = await settle(
        documents.install(makeDocument(number, label)),
      );
      this.#history.recordInstall(answer);
    },
    lostAnswer: async ({version: number}) => {
      const leader = await this.#cluster.untilLeader();
      void documentsOf(leader).install(makeDocument(number, 'lost'));
      await vi.advanceTimersByTimeAsync(2);
      await this.#cluster.crash(leader);
    },
    invalid: async ({version: number}) => {
      const leader = await this.#cluster.untilLeader();
      const documents = documentsOf(leader);
      const answer = await settle(
        documents.install(makeInvalidDocument(number)),
      );
      expect(answer?.kind, 'accepted an invalid document').toBe('invalid');
    },
    read: async ({member: at}) => {
      const before = this.#history.accepted;
      const target = this.#cluster.members[at];
      if (!target) return;
      const answer = await settle(documentsOf(target).read());
      this.#history.checkRead(answer, before);
    },
    crash: async ({member: at}) => {
      const crashed = this.#cluster.members[at];
      if (crashed) await this.#cluster.crash(crashed);
    },
    cut: ({member: at}) => {
      const {cutOff} = this.#cluster.network;
      cutOff.clear();
      const cut = this.#cluster.members[at];
      if (cut) cutOff.add(cut.address);
      return Promise.resolve();
    },
    heal: () => {
      this.#cluster.network.cutOff.clear();
      return Promise.resolve();
    },
    wipe: async ({member: at}) => {
      await this.#wipe(at);
      await this.#cluster.untilReplaced();
    },
    wipeOnly: ({member: at}) => this.#wipe(at),
  };

  /** The group tolerates one lost disk: the others must be up to date first. */
  async #wipe(at: number): Promise<void> {
    this.#cluster.network.cutOff.clear();
    await this.#cluster.untilLeader();
    await vi.advanceTimersByTimeAsync(2_000);
    const wiped = this.#cluster.members[at];
    if (wiped) await this.#cluster.replaceDisk(wiped);
  }

  async run(steps: readonly Step[]): Promise<void> {
    for (const step of steps) {
      const handler = this.#handlers[step.kind] as (
        step: Step,
      ) => Promise<void>;
      await handler(step);
    }
    this.#cluster.network.cutOff.clear();
    const leader = await this.#cluster.untilLeader();
    const answer = await settle(documentsOf(leader).read());
    expect(answer?.kind).toBe('found');
    this.#history.checkRead(answer, this.#history.accepted);
  }
}

function documentsOf({
  machine,
  proposer,
}: ControlCluster['members'][number]): ConfigurationDocuments {
  return new ConfigurationDocuments(machine, proposer);
}

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

async function runSteps(steps: readonly Step[]): Promise<void> {
  const cluster = new ControlCluster();
  await cluster.start();
  try {
    await new Simulation(cluster).run(steps);
  } finally {
    await cluster.stop();
  }
}

/** Leaders crash during a replacement, and later a second disk is lost. */
const REPLACED_UNDER_CRASHES: readonly Step[] = [
  {kind: 'read', member: 0},
  {kind: 'read', member: 0},
  {kind: 'wipeOnly', member: 2},
  {kind: 'install', version: 7, label: 'other'},
  {kind: 'lostAnswer', version: 9},
  {kind: 'install', version: 17, label: 'one'},
  {kind: 'read', member: 0},
  {kind: 'invalid', version: 14},
  {kind: 'cut', member: 0},
  {kind: 'cut', member: 1},
  {kind: 'wipeOnly', member: 1},
  {kind: 'wipeOnly', member: 0},
  {kind: 'crash', member: 2},
  {kind: 'lostAnswer', version: 27},
  {kind: 'heal'},
  {kind: 'invalid', version: 30},
  {kind: 'crash', member: 2},
  {kind: 'invalid', version: 12},
  {kind: 'wipeOnly', member: 1},
  {kind: 'lostAnswer', version: 22},
  {kind: 'lostAnswer', version: 17},
];

// Guards against lost updates: operators install documents from several
// clients, retry after lost answers and read at any member, while members
// crash, are cut off and lose their disks. In any order, a read never returns
// an older version than was accepted or other content for it, and invalid
// documents are rejected.
test('operators read accepted documents whichever members fail', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(stepArbitrary, {minLength: 8, maxLength: 24}),
      runSteps,
    ),
    {seed: SEED, numRuns: RUNS, endOnFailure: true},
  );
}, 120_000);

// Guards against a permanent loss of the majority. When a leader crashes
// between two steps of a replacement, the lost identity of the replaced member
// must not stay a voter.
test('a replacement completes although leaders crash', async () => {
  await runSteps(REPLACED_UNDER_CRASHES);
});
