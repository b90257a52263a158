/**
 * Quarantines requests that crash servers.
 *
 * The control plane counts the crashes that all routers report. Crashes that it
 * has not recorded yet are counted locally, so that a router that is cut off
 * from the control plane also protects its servers.
 */
import {createHash} from 'node:crypto';
import {CrashEvidence, type ServerCrash, type Suspect} from '@lovagepond/core';
import {type lovagepond} from '@lovagepond/protocol';

type WireUpdate = lovagepond.v1.QuarantineUpdate.$Properties;

/** A report of crashes to the control plane. */
export type CrashReport = Pick<
  lovagepond.v1.CrashReport.$Properties,
  'crashes' | 'answered'
>;

/** The content that identifies repeats of a request. */
export interface RequestContent {
  readonly method: string;
  readonly path: string;
  /** The caller's workspace; empty when unknown. */
  readonly workspace: string;
  readonly body: Uint8Array;
}

/** A request that crashed this many servers isn't retried. */
export const SUSPECT_CRASHES = 2;

const FINGERPRINT_BYTES = 16;

/**
 * A request that was answered completely within this time before a crash didn't
 * cause the crash; milliseconds.
 */
const ANSWER_VALID_MS = 60_000;

/** Maximum number of requests whose last answer's time is stored. */
const MAX_ANSWERED = 4_096;

/** Maximum number of crashes in one report. */
const MAX_REPORTED = 64;

/** Maximum number of unreported crashes; the oldest are dropped. */
const MAX_UNREPORTED = 256;

/**
 * @param content a request's content
 * @returns its fingerprint, which is the same on every router
 */
export function fingerprintOf(content: RequestContent): string {
  const {method, path, workspace, body} = content;
  const hash = createHash('sha256');
  hash.update(JSON.stringify([method, path, workspace]));
  hash.update(body);
  return hash.digest().subarray(0, FINGERPRINT_BYTES).toString('hex');
}

/** Keeps suspected requests and the pending reports to the control plane. */
export class RequestQuarantine {
  readonly #localEvidence = new CrashEvidence();
  #suspectsFromControl = new Map<string, Suspect>();
  #unreported: ServerCrash[] = [];
  #answered = new Set<string>();
  /** Times of the last answers by fingerprint; the oldest first. */
  readonly #answeredAt = new Map<string, number>();
  #pendingReport: {crashes: ServerCrash[]; answered: Set<string>} | undefined;

  /**
   * @param crash the crashed server and this router's requests at it
   * @param now current time, monotonic milliseconds
   */
  noteCrash(crash: ServerCrash, now: number): void {
    const requests = crash.requests.filter(
      request => !this.#wasAnswered(request, now),
    );
    const counted = {...crash, requests};
    this.#localEvidence.noteCrash(counted, now);
    this.#unreported.push(counted);
    if (this.#unreported.length > MAX_UNREPORTED) this.#unreported.shift();
  }

  /**
   * @param request fingerprint of a request that a server answered completely
   * @param now current time, monotonic milliseconds
   */
  noteAnswered(request: string, now: number): void {
    this.#answeredAt.delete(request);
    this.#answeredAt.set(request, now);
    for (const oldest of this.#answeredAt.keys()) {
      if (this.#answeredAt.size <= MAX_ANSWERED) break;
      this.#answeredAt.delete(oldest);
    }
    const isLocal = this.#localEvidence.forget(request, now);
    const isFromControl = this.#suspectsFromControl.delete(request);
    if (isLocal || isFromControl) this.#answered.add(request);
  }

  /**
   * @param request a fingerprint
   * @param now current time, monotonic milliseconds
   * @returns the suspicion against the request, if any
   */
  find(request: string, now: number): Suspect | undefined {
    const local = this.#localEvidence.find(request, now);
    const fromControl = this.#suspectsFromControl.get(request);
    if (!local || !fromControl) return local ?? fromControl;
    const until = Math.max(
      local.quarantinedUntil ?? 0,
      fromControl.quarantinedUntil ?? 0,
    );
    return {
      request,
      crashes: Math.max(local.crashes, fromControl.crashes),
      quarantinedUntil: until === 0 ? undefined : until,
    };
  }

  /**
   * @param request a fingerprint
   * @param now current time, monotonic milliseconds
   * @returns time until the request may run, in milliseconds; undefined when it
   *     may run now
   */
  quarantinedForMs(request: string, now: number): number | undefined {
    const leftMs = (this.find(request, now)?.quarantinedUntil ?? 0) - now;
    return leftMs > 0 ? leftMs : undefined;
  }

  /** @returns number of suspected requests, for the state dump */
  get size(): number {
    return this.#suspectsFromControl.size;
  }

  /**
   * @param now current time, monotonic milliseconds
   * @returns what the control plane has not recorded; undefined when there is
   *     nothing to report or a report is pending
   */
  takeReport(now: number): CrashReport | undefined {
    if (this.#pendingReport) return undefined;
    if (this.#unreported.length === 0 && this.#answered.size === 0) {
      return undefined;
    }
    const next = this.#unreported.splice(0, MAX_REPORTED);
    this.#pendingReport = {crashes: next, answered: this.#answered};
    this.#answered = new Set();
    const {crashes, answered} = this.#pendingReport;
    return {
      crashes: crashes.map(crash => ({
        backendServer: crash.server,
        requests: crash.requests.map(toBytes),
        ageMs: Math.max(0, Math.round(now - crash.crashedAt)),
      })),
      answered: [...answered].map(toBytes),
    };
  }

  /** @param isRecorded false when the report must be sent again */
  endReport(isRecorded: boolean): void {
    const pendingReport = this.#pendingReport;
    this.#pendingReport = undefined;
    if (isRecorded || !pendingReport) return;
    this.#unreported = [...pendingReport.crashes, ...this.#unreported];
    for (const request of pendingReport.answered) this.#answered.add(request);
  }

  /**
   * @param update all suspected requests, from the control plane
   * @param now current time, monotonic milliseconds
   * @returns fingerprints of requests that are newly quarantined
   */
  apply({suspects}: WireUpdate, now: number): readonly string[] {
    const former = this.#suspectsFromControl;
    this.#suspectsFromControl = new Map();
    const quarantined: string[] = [];
    for (const {request: bytes, crashes, quarantinedForMs} of suspects ?? []) {
      const request = Buffer.from(bytes ?? []).toString('hex');
      if (this.#wasAnswered(request, now)) {
        this.#answered.add(request);
        continue;
      }
      const forMs = quarantinedForMs ?? 0;
      const quarantinedUntil = forMs > 0 ? now + forMs : undefined;
      this.#suspectsFromControl.set(request, {
        request,
        crashes: crashes ?? 0,
        quarantinedUntil,
      });
      const isKnown = former.get(request)?.quarantinedUntil !== undefined;
      if (quarantinedUntil !== undefined && !isKnown) quarantined.push(request);
    }
    this.#dropRecorded(now);
    return quarantined;
  }

  #wasAnswered(request: string, now: number): boolean {
    const answeredAt = this.#answeredAt.get(request) ?? -Infinity;
    return now - answeredAt <= ANSWER_VALID_MS;
  }

  #wasAnsweredAfter(request: string, at: number): boolean {
    return (this.#answeredAt.get(request) ?? -Infinity) >= at;
  }

  /**
   * Keeps local evidence only of unrecorded crashes. The control plane counts
   * recorded ones, and an operator may have lifted the quarantine since.
   */
  #dropRecorded(now: number): void {
    const waiting = [
      ...this.#unreported,
      ...(this.#pendingReport?.crashes ?? []),
    ];
    this.#localEvidence.restore(undefined);
    for (const crash of waiting) {
      const requests = crash.requests.filter(
        request => !this.#wasAnsweredAfter(request, crash.crashedAt),
      );
      this.#localEvidence.noteCrash({...crash, requests}, now);
    }
  }
}

function toBytes(request: string): Buffer {
  return Buffer.from(request, 'hex');
}
