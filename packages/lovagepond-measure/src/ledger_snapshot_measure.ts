/**
 * Time for which a snapshot blocks the event loop, and restart time, by the
 * number of keys in the ledger.
 */
import {
  CLAIM_COMMAND,
  type ClaimPayload,
  CONTROL_DEFAULTS,
  ControlStateMachine,
  encodeCommand,
  RECORD_COMMAND,
} from '@lovagepond/control';
import {roundTo} from './measure_statistics.js';
import {type MeasureSection} from './measure_types.js';

const SIZES = [10_000, 100_000, 500_000] as const;
/** Number of calls between two snapshots. */
const CHANGED = 10_000;
const ANSWER = Buffer.alloc(60, 'a').toString('base64');
const MEGABYTE = 1e6;

function makeMachine(): ControlStateMachine {
  return new ControlStateMachine(CONTROL_DEFAULTS, () => 0);
}

function makeCall(n: number): ClaimPayload {
  return {
    workspace: `workspace-${n % 10}`,
    key: `redemption-${n.toString().padStart(26, '0')}`,
    digest: Buffer.alloc(32, n).toString('base64'),
    server: `muc-riem-engine-${n % 640}`,
    incarnation: `8d3f0a52-6c1e-4b7a-9f10-${(n % 640) + 1e11}`,
    attempt: `b1946ac9-2492-4d23-8c6e-${n + 1e11}`,
  };
}

function runCalls(
  machine: ControlStateMachine,
  from: number,
  to: number,
): void {
  const stamp = {timeMs: 1, wallTimeMs: 0, term: 1};
  const outcome = {outcome: 'ran', status: 200} as const;
  const body = {answer: ANSWER, contentType: 'application/json'};
  for (let n = from; n < to; n += 1) {
    const claim = makeCall(n);
    const {workspace, key, attempt} = claim;
    const record = {workspace, key, attempt, ...outcome, ...body};
    machine.apply(encodeCommand(CLAIM_COMMAND, claim, stamp), 2 * n + 1);
    machine.apply(encodeCommand(RECORD_COMMAND, record, stamp), 2 * n + 2);
  }
}

function timeMs<Value>(run: () => Value): {value: Value; ms: number} {
  const started = performance.now();
  const value = run();
  return {value, ms: performance.now() - started};
}

function measureSize(keys: number): (string | number)[] {
  const machine = makeMachine();
  runCalls(machine, 0, keys);
  const first = timeMs(() => machine.snapshot());
  runCalls(machine, keys, keys + CHANGED);
  const next = timeMs(() => machine.snapshot());
  const restored = makeMachine();
  const restore = timeMs(() => {
    restored.restore(next.value);
  });
  const again = timeMs(() => restored.snapshot());
  return [
    keys,
    roundTo(next.value.length / MEGABYTE, 1),
    Math.round(first.ms),
    Math.round(next.ms),
    Math.round(restore.ms),
    Math.round(again.ms),
  ];
}

/** @returns snapshot and restart time by the size of the ledger */
export function measureLedgerSnapshots(): MeasureSection {
  return {
    title: 'Snapshot and restart by the size of the ledger',
    columns: [
      'keys',
      'MB',
      'first ms',
      'next ms',
      'restore ms',
      'after restore ms',
    ],
    rows: SIZES.map(measureSize),
    notes: [
      'first: every entry is encoded; a member takes one each 50,000 entries',
      `next: after ${CHANGED} more calls; answers of 60 bytes; no disk`,
      'each blocks the event loop for this long; an election takes 600 ms or more',
    ],
  };
}
