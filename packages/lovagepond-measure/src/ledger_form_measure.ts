/**
 * Two forms of the ledger of non-repeatable calls, records by key and client
 * sessions: bytes per call in the log and in memory, and calls a second.
 */
import {
  CLAIM_COMMAND,
  type ClaimPayload,
  decodeCommand,
  encodeCommand,
  LedgerState,
  RECORD_COMMAND,
} from '@lovagepond/control';
import {type Command, createCommand} from '@lovagepond/core';
import {measureHeap} from './measure_heap.js';
import {roundTo} from './measure_statistics.js';
import {type MeasureSection} from './measure_types.js';
import {
  type SessionClaim,
  SessionLedger,
  type SessionRecord,
} from './session_ledger_trial.js';

const CALLS = 200_000;
const SIDECARS = 640;
const ANSWER = Buffer.alloc(200, 'a').toString('base64');
/** Results that a sidecar has not yet acknowledged. */
const UNACKNOWLEDGED = 16;

const LIMITS = {
  answerRetentionMs: 1e9,
  keyRetentionMs: 1e9,
  openClaimLimitMs: 1e9,
  ledgerLimit: 1e9,
  answerCharactersLimit: 1e9,
};

/** One form of the ledger, with a generator of its calls. */
interface LedgerForm {
  readonly title: string;
  /** Claims call `n` and records its result. */
  run(n: number): void;
  /** Bytes of the claim and the record in the log. */
  readonly logBytes: number;
}

function makeKey(n: number): string {
  return `redemption-${n.toString().padStart(26, '0')}`;
}

function makeDigest(n: number): string {
  return Buffer.alloc(32, n).toString('base64');
}

const STAMP = {timeMs: 86_400_000, wallTimeMs: 1.79e12, term: 17};

const RECORDED = {status: 200, answer: ANSWER, contentType: 'application/json'};

/** @returns the payload after encoding and decoding, as from a log */
function encodeAndDecode<Payload>(
  command: Command<Payload>,
  payload: Payload,
): Payload {
  const bytes = encodeCommand(command, payload, STAMP);
  return decodeCommand(bytes).payload as Payload;
}

function makeKeyForm(): LedgerForm {
  const ledger = new LedgerState(() => LIMITS);
  const makeClaim = (n: number): ClaimPayload => ({
    workspace: `workspace-${n % 10}`,
    key: makeKey(n),
    digest: makeDigest(n),
    server: `muc-riem-engine-${n % SIDECARS}`,
    incarnation: `8d3f0a52-6c1e-4b7a-9f10-${(n % SIDECARS) + 1e11}`,
    attempt: `b1946ac9-2492-4d23-8c6e-${n + 1e11}`,
  });
  const makeRecord = (n: number): Parameters<LedgerState['record']>[0] => {
    const {workspace, key, attempt} = makeClaim(n);
    return {workspace, key, attempt, outcome: 'ran', ...RECORDED};
  };
  return {
    title: 'records by key (in use)',
    run: n => {
      ledger.claim(encodeAndDecode(CLAIM_COMMAND, makeClaim(n)), n);
      ledger.record(encodeAndDecode(RECORD_COMMAND, makeRecord(n)), n);
    },
    logBytes:
      encodeCommand(CLAIM_COMMAND, makeClaim(1), STAMP).length +
      encodeCommand(RECORD_COMMAND, makeRecord(1), STAMP).length,
  };
}

function makeSessionForm(): LedgerForm {
  const ledger = new SessionLedger();
  const makeClaim = (n: number): SessionClaim => {
    const sequence = 2 * Math.floor(n / SIDECARS);
    return {
      session: n % SIDECARS,
      sequence,
      lowest: Math.max(0, sequence - UNACKNOWLEDGED),
      workspace: `workspace-${n % 10}`,
      key: makeKey(n),
      digest: makeDigest(n),
    };
  };
  const makeRecord = (n: number): SessionRecord => {
    const {session, sequence: claim, lowest, workspace, key} = makeClaim(n);
    const head = {session, sequence: claim + 1, lowest, workspace, key};
    return {...head, claim, ...RECORDED};
  };
  const claimCommand = createCommand<SessionClaim>('claim');
  const recordCommand = createCommand<SessionRecord>('record');
  const last = CALLS - 1;
  return {
    title: 'sessions, with records by key for repeats',
    run: n => {
      ledger.claim(encodeAndDecode(claimCommand, makeClaim(n)), n);
      ledger.record(encodeAndDecode(recordCommand, makeRecord(n)), n);
    },
    logBytes:
      encodeCommand(claimCommand, makeClaim(last), STAMP).length +
      encodeCommand(recordCommand, makeRecord(last), STAMP).length,
  };
}

function measureForm(makeForm: () => LedgerForm): (string | number)[] {
  const warmUpForm = makeForm();
  for (let n = 0; n < 20_000; n += 1) warmUpForm.run(n);
  let seconds = 0;
  const {value: measuredForm, bytes} = measureHeap(() => {
    const form = makeForm();
    const started = performance.now();
    for (let n = 0; n < CALLS; n += 1) form.run(n);
    seconds = (performance.now() - started) / 1000;
    return form;
  });
  return [
    measuredForm.title,
    measuredForm.logBytes,
    roundTo(bytes / CALLS, 0),
    Math.round(CALLS / seconds),
  ];
}

/** @returns a comparison of both forms of the ledger */
export function measureLedgerForms(): MeasureSection {
  return {
    title: 'Ledger: records by key against client sessions',
    columns: ['form', 'log B/call', 'heap B/call', 'calls/s coded and applied'],
    rows: [measureForm(makeKeyForm), measureForm(makeSessionForm)],
    notes: [
      `${CALLS} calls of ${SIDECARS} sidecars, each claimed and recorded`,
      'answer 200 bytes; 36-character attempts and incarnations; no disk',
    ],
  };
}
