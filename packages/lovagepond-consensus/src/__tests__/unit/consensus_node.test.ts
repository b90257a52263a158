import {Random} from '@lovagepond/core';
import {describe, expect, it} from 'vitest';
import {
  ConsensusNode,
  type ConsensusParts,
  DEFAULT_CONSENSUS_TIMINGS,
  MemoryNetwork,
  MemoryStorage,
  type StateMachine,
} from '../../index.js';

class Register implements StateMachine {
  value = '';

  apply(command: Uint8Array): Uint8Array {
    this.value += Buffer.from(command).toString();
    return this.snapshot();
  }

  snapshot(): Uint8Array {
    return Buffer.from(this.value);
  }

  restore(snapshot: Uint8Array): void {
    this.value = Buffer.from(snapshot).toString();
  }
}

const SILENT = {debug() {}, info() {}, warn() {}, error() {}};

function makeParts(address: string, storage: MemoryStorage): ConsensusParts {
  return {
    stateMachine: new Register(),
    storage,
    transport: new MemoryNetwork().attach(address),
    clock: {now: () => performance.now(), wallTime: () => 0},
    random: new Random(1),
    log: SILENT,
  };
}

describe('ConsensusNode with one member', () => {
  const settings = {
    address: 'a:1',
    peers: ['a:1'],
    timings: DEFAULT_CONSENSUS_TIMINGS,
  };

  it('returns results and has them again after a restart', async () => {
    const storage = new MemoryStorage('m1');
    const first = new ConsensusNode(settings, makeParts('a:1', storage));
    await first.start();
    const outcome = await first.propose(Buffer.from('x'));
    expect(outcome).toMatchObject({kind: 'committed', index: 1});
    await first.stop();

    const parts = makeParts('a:1', storage);
    const second = new ConsensusNode(settings, parts);
    await second.start();
    expect(await second.readBarrier()).toMatchObject({kind: 'ok'});
    expect(Buffer.from(parts.stateMachine.snapshot()).toString()).toBe('x');
    expect(second.status().term).toBe(2);
    await second.stop();
  });
});
