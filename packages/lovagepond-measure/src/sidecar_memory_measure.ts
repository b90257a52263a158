/**
 * Memory of a sidecar per chat and request, as a slope over sizes.
 */
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {
  SidecarAttempts,
  SidecarCacheIndex,
  SidecarPointers,
} from '@lovagepond/sidecar';
import {roundTo} from './measure_statistics.js';
import {type MeasureSection} from './measure_types.js';

const SIZES = [20_000, 40_000, 80_000, 160_000] as const;
const CHATS = 2_400_000;
const SIDECARS = 640;
const LIFETIME_MS = 3_600_000;
const SERVER_NAMES = 64;
const MEBIBYTE = 1_024 * 1_024;

/** Creates a holder with `size` entries. */
type MakeHolder = (size: number) => object;

const makeCacheIndex: MakeHolder = size => {
  const index = new SidecarCacheIndex(size);
  for (let number = 1; number <= size; number++) {
    index.apply(number, 'workspace', `chat-${number}`, number % 8_000);
  }
  return index;
};

const makePointers: MakeHolder = size => {
  const pointers = new SidecarPointers({
    maxPointers: size,
    pointerLifetimeMs: LIFETIME_MS,
  });
  for (let number = 0; number < size; number++) {
    const server = `server-${number % SERVER_NAMES}`;
    pointers.put('workspace', `chat-${number}`, server, 0);
  }
  return pointers;
};

const makeAttempts: MakeHolder = size => {
  const attempts = new SidecarAttempts({
    refusalRetentionMs: LIFETIME_MS,
    attemptRetentionMs: LIFETIME_MS,
    maxAttempts: size,
  });
  for (let number = 0; number < size; number++) {
    const attemptId = `00000000-0000-4000-8000-${number}.1`;
    attempts.hold(attemptId);
    attempts.dispatch(attemptId);
    attempts.finish(attemptId, false, 0);
  }
  return attempts;
};

const HOLDERS: readonly (readonly [string, MakeHolder])[] = [
  ['cache index', makeCacheIndex],
  ['pointers', makePointers],
  ['ended attempts', makeAttempts],
];

function makeCollector(): () => void {
  setFlagsFromString('--expose-gc');
  return runInNewContext('gc') as () => void;
}

function measureBytes(
  make: MakeHolder,
  size: number,
  collect: () => void,
): number {
  collect();
  const before = process.memoryUsage().heapUsed;
  const holder = make(size);
  collect();
  const bytes = process.memoryUsage().heapUsed - before;
  // Keeps the holder reachable until its memory is measured.
  return Object.keys(holder).length + bytes;
}

/** @returns slope of the least squares line through the points */
function slopeOf(xs: readonly number[], ys: readonly number[]): number {
  const meanX = xs.reduce((a, b) => a + b, 0) / xs.length;
  const meanY = ys.reduce((a, b) => a + b, 0) / ys.length;
  let above = 0;
  let below = 0;
  xs.forEach((x, index) => {
    above += (x - meanX) * ((ys[index] ?? 0) - meanY);
    below += (x - meanX) ** 2;
  });
  return above / below;
}

/** @returns bytes per entry of the state that grows with chats and requests */
export function measureSidecarMemory(): MeasureSection {
  const collect = makeCollector();
  const perSidecar = CHATS / SIDECARS;
  const rows = HOLDERS.map(([name, make]) => {
    measureBytes(make, SIZES[0], collect);
    const bytes = SIZES.map(size => measureBytes(make, size, collect));
    const slope = slopeOf(SIZES, bytes);
    const mebibytes = (slope * perSidecar) / MEBIBYTE;
    return [name, roundTo(slope, 1), perSidecar, roundTo(mebibytes, 2)];
  });
  return {
    title: 'Sidecar: memory by kind of entry',
    columns: [
      'entry',
      'bytes each (slope)',
      'entries a sidecar at size',
      'MiB a sidecar at size',
    ],
    rows,
    notes: [
      `Slope over ${SIZES.join(', ')} entries, after garbage collection.`,
      `At size: ${CHATS} chats over ${SIDECARS} sidecars.`,
    ],
  };
}
