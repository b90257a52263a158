import * as fc from 'fast-check';
import {describe, it} from 'vitest';
import {ConsensusModel, type ModelFaults} from '../model/consensus_model.js';

const STEPS = 4_000;
const RUNS = 100;
const PROPERTY_SEED = 20_261_202;

const rarely = (max: number): fc.Arbitrary<number> =>
  fc.integer({min: 0, max: 20}).map(part => (part / 20) * max);

const faultsArbitrary: fc.Arbitrary<ModelFaults> = fc.record({
  loss: rarely(0.2),
  duplication: rarely(0.2),
  crash: rarely(0.003),
  partition: rarely(0.003),
  diskLoss: rarely(0.0005),
  memberChange: rarely(0.02),
  drift: rarely(0.099),
});

describe('ConsensusCore under faults', () => {
  // Messages are lost, doubled, late and out of order; hosts crash with torn
  // writes, come back with empty disks, are cut off in one direction, and
  // their clocks drift, while members are replaced. Whatever the order, no
  // client may miss what it was told, and the group works again afterwards.
  it('keeps every promise, from any seed', {timeout: 60_000}, () => {
    fc.assert(
      fc.property(
        fc.integer(),
        fc.constantFrom(3, 4, 5),
        fc.constantFrom(0, 1, 2),
        faultsArbitrary,
        (seed, hosts, spares, faults) => {
          const model = new ConsensusModel(seed, hosts, spares, faults);
          model.run(STEPS);
          model.settle();
        },
      ),
      {seed: PROPERTY_SEED, numRuns: RUNS, endOnFailure: true, examples: []},
    );
  });
});
