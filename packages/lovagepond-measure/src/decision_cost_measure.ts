/**
 * Processor time of one placement decision, by policy and number of servers.
 */
import {encodeLoad, Random} from '@lovagepond/core';
import {
  type KeyHasher,
  loadKeyHasher,
  PLACEMENT_POLICIES,
  type PlacementInput,
  type PlacementPolicy,
  type PlacementPolicyName,
  type PlacementServer,
  RendezvousTable,
  RouterLoadView,
} from '@lovagepond/router';
import {roundTo} from './measure_statistics.js';
import {type MeasureSection} from './measure_types.js';

const SEED = 810;
const SIZES = [6, 64, 640] as const;
const WARM_UP_DECISIONS = 10_000;
const DECISIONS = 40_000;
const DIGEST_EVERY_DECISIONS = 1_000;
const POLICY_NAMES = Object.keys(PLACEMENT_POLICIES) as PlacementPolicyName[];
const SETTINGS = {
  loadBound: 1.5,
  reuseWeight: 0.5,
  maxHoldMs: 8_000,
  prefillTokensPerSecond: 8_000,
  decodeTokensPerSecond: 2_400,
};

/** One policy with its inputs. */
interface Bench {
  readonly policy: PlacementPolicy;
  readonly input: Omit<PlacementInput<PlacementServer>, 'request'>;
  readonly digests: readonly Uint8Array[];
}

function makeBench(
  name: PlacementPolicyName,
  size: number,
  hasher: KeyHasher,
): Bench {
  const random = new Random(SEED);
  const servers = Array.from({length: size}, (_, slot) => ({
    name: `server-${slot}`,
    slot,
    readySince: Number.NEGATIVE_INFINITY,
  }));
  const digests = Array.from({length: 16}, () =>
    Uint8Array.from(servers, () => encodeLoad(20_000 + random.below(40_000))),
  );
  const input = {
    servers: new RendezvousTable<PlacementServer>(servers, hasher),
    load: new RouterLoadView(),
    settings: SETTINGS,
    now: 0,
    random,
  };
  return {policy: PLACEMENT_POLICIES[name](hasher), input, digests};
}

/** Decides, records sends and applies a digest at intervals, as a router. */
function decide(bench: Bench, count: number): void {
  const {policy, input, digests} = bench;
  for (let index = 0; index < count; index++) {
    if (index % DIGEST_EVERY_DECISIONS === 0) {
      const turn = index / DIGEST_EVERY_DECISIONS;
      const digest = digests[turn % digests.length];
      if (digest) input.load.applyDigest(digest, index - 1);
    }
    const request = {
      workspace: `workspace-${index % 10}`,
      chat: `chat-${index}`,
      estimatedTokens: 700,
      promptTokens: 600,
      returning: index % 4 !== 0,
    };
    const {candidates} = policy.place({...input, request, now: index});
    const slot = candidates[0]?.slot ?? 0;
    input.load.recordSent(slot, request.estimatedTokens, index);
  }
}

function measureMicroseconds(bench: Bench): number {
  decide(bench, WARM_UP_DECISIONS);
  const started = performance.now();
  decide(bench, DECISIONS);
  return ((performance.now() - started) * 1000) / DECISIONS;
}

/** @returns µs per decision, and decisions a second */
export async function measureDecisionCost(): Promise<MeasureSection[]> {
  const hasher = await loadKeyHasher();
  const rows = POLICY_NAMES.map(name => {
    const costs = SIZES.map(size =>
      measureMicroseconds(makeBench(name, size, hasher)),
    );
    const last = costs.at(-1) ?? 0;
    return [
      name,
      ...costs.map(cost => roundTo(cost, 2)),
      Math.round(1e6 / last),
    ];
  });
  return [
    {
      title: 'Cost of one placement decision',
      columns: [
        'policy',
        ...SIZES.map(size => `µs at ${size} servers`),
        'decisions/s at 640',
      ],
      rows,
      notes: [
        `seed ${SEED}; npm run measure -- decision-cost`,
        `${DECISIONS} decisions each after ${WARM_UP_DECISIONS} to warm up, ` +
          'with hashing, recording the send, and a digest every ' +
          `${DIGEST_EVERY_DECISIONS} decisions`,
      ],
    },
  ];
}
