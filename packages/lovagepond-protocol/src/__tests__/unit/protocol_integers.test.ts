import {expect, test} from 'vitest';
import {lovagepond} from '../../index.js';

// Guards against a chunk's offset that decodes as an object: adding a length to
// it would concatenate strings, and routers would detect a gap in each answer.
test('64-bit fields decode as plain numbers', () => {
  const {Chunk} = lovagepond.v1;
  const largest = Number.MAX_SAFE_INTEGER;
  const bytes = Chunk.encode({offset: largest}).finish();
  expect(Chunk.decode(bytes).offset).toBe(largest);
  expect(Chunk.decode(Chunk.encode({}).finish()).offset).toBe(0);
});
