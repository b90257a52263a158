import * as fc from 'fast-check';
import {describe, it} from 'vitest';
import {ConsensusModel} from '../model/consensus_model.js';
import {type ModelFaults} from '../model/consensus_model_faults.js';

const STEPS = 6_000;
const RUNS = 60;

/** Spare hosts in larger groups. */
const SPARES = 2;
const RUNS_OF_LARGER = 20;
const PROPERTY_SEED = 20_261_202;

const upTo = (max: number): fc.Arbitrary<number> =>
  fc.integer({min: 0, max: 20}).map(part => (part / 20) * max);

const faultsArbitrary: fc.Arbitrary<ModelFaults> = fc.record({
  loss: upTo(0.2),
  duplication: upTo(0.2),
  crash: upTo(1.5),
  partition: upTo(1.5),
  diskLoss: upTo(0.1),
  memberChange: upTo(3),
  drift: upTo(0.249),
  stepMs: fc.constantFrom(0.5, 1, 3),
  storeShare: fc.constantFrom(0.05, 0.1, 0.2),
});

type Example = [
  seed: number,
  hosts: number,
  spares: number,
  faults: ModelFaults,
];

/** Examples that fail without the fix or safeguard against the named fault. */
const REGRESSIONS: Example[] = [
  // A leader that removed itself, and whose log alone contains the removal, is
  // never elected.
  [
    1189957784,
    3,
    0,
    {
      loss: 0.04,
      duplication: 0.1,
      crash: 0.45,
      partition: 0.45,
      diskLoss: 0.04,
      memberChange: 1.8,
      drift: 0.1494,
      stepMs: 1,
      storeShare: 0.2,
    },
  ],
  // Entries that were acknowledged before their sync are lost in a crash.
  [
    1424409591,
    4,
    2,
    {
      loss: 0.01,
      duplication: 0.02,
      crash: 0.6,
      partition: 0,
      diskLoss: 0.045,
      memberChange: 0,
      drift: 0.0249,
      stepMs: 1,
      storeShare: 0.05,
    },
  ],
  // A host that lost its disk votes under its previous identity.
  [
    -1636100356,
    4,
    2,
    {
      loss: 0.12,
      duplication: 0.19,
      crash: 0.15,
      partition: 1.35,
      diskLoss: 0.08,
      memberChange: 1.2,
      drift: 0.0498,
      stepMs: 3,
      storeShare: 0.2,
    },
  ],
  // A sole voter restarts and elects itself at once, while the leader that is
  // removing itself still holds its lease.
  [
    293741308,
    3,
    2,
    {
      loss: 0.18000000000000002,
      duplication: 0.08000000000000002,
      crash: 1.35,
      partition: 0.75,
      diskLoss: 0.010000000000000002,
      memberChange: 3,
      drift: 0.024900000000000002,
      stepMs: 0.5,
      storeShare: 0.05,
    },
  ],
];

describe('ConsensusCore under faults', () => {
  // Messages are lost, duplicated, delayed and reordered; hosts crash with torn
  // writes, return with empty disks or are partitioned in one direction; clocks
  // drift, and members are replaced. In any order of events no client may miss
  // an acknowledged write, and the group must recover afterwards.
  it('keeps all guarantees, for any seed', {timeout: 60_000}, () => {
    fc.assert(
      fc.property(
        fc.integer(),
        fc.constantFrom(3, 4, 5),
        fc.constantFrom(0, 1, 2),
        faultsArbitrary,
        (seed, hosts, spares, faults) => {
          const model = new ConsensusModel(seed, hosts, spares, faults);
          model.run(STEPS);
          model.expectRecovery();
        },
      ),
      {
        seed: PROPERTY_SEED,
        numRuns: RUNS,
        endOnFailure: true,
        examples: REGRESSIONS,
      },
    );
  });

  // Groups with two hosts per availability zone: more members vote, are
  // replaced and catch up at the same time.
  it('keeps all guarantees in larger groups', {timeout: 60_000}, () => {
    fc.assert(
      fc.property(
        fc.integer(),
        fc.constantFrom(6, 8, 12),
        faultsArbitrary,
        (seed, hosts, faults) => {
          const model = new ConsensusModel(seed, hosts, SPARES, faults);
          model.run(STEPS);
          model.expectRecovery();
        },
      ),
      {seed: PROPERTY_SEED, numRuns: RUNS_OF_LARGER, endOnFailure: true},
    );
  });
});
