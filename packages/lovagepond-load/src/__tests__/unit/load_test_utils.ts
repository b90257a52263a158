/**
 * Requests and servers for tests of single decisions.
 */
import {Random} from '@lovagepond/core';
import {
  type AdmissionRequest,
  type AdmissionSettings,
  type LoadedServer,
  PoolAdmission,
  type PredictedTimes,
} from '../../index.js';
import {SETTINGS} from './load_virtual_pool.js';

/** A server whose predictions the test sets. */
export class FixedServer implements LoadedServer {
  startMs = 0;
  idleMs = 40;
  work = 10;
  reportedWaiting: number | undefined;

  constructor(
    readonly name: string,
    readonly slots = 4,
  ) {}

  predict(): PredictedTimes {
    const doneMs = this.startMs + this.idleMs;
    return {startMs: this.startMs, firstResponseMs: doneMs, doneMs};
  }

  predictIdle(): PredictedTimes {
    return {startMs: 0, firstResponseMs: this.idleMs, doneMs: this.idleMs};
  }

  workMs(): number {
    return this.work;
  }
}

let requests = 0;

export function makeRequest(
  arrivedAt: number,
  fields: Partial<AdmissionRequest> = {},
): AdmissionRequest {
  requests += 1;
  return {
    ...{id: `r${requests}`, workspace: 'ws', priority: 5, kind: 'call'},
    ...{targetLatencyMs: 200, arrivedAt, deadlineAt: arrivedAt + 1_000},
    bytes: 100,
    ...fields,
  };
}

export function makeAdmission(
  settings: Partial<AdmissionSettings> = {},
): PoolAdmission<AdmissionRequest> {
  return new PoolAdmission({...SETTINGS, ...settings}, new Random(1));
}

/** Engages the server's window: one response took long. */
export function engage(
  admission: PoolAdmission<AdmissionRequest>,
  server: FixedServer,
  now: number,
): void {
  const req = makeRequest(now);
  admission.noteSent(req, server, now);
  admission.noteResponse(req.id, now + 150);
  admission.noteEnded(req.id, now + 150);
}
