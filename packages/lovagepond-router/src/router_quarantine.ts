/**
 * Quarantines requests, and parts of prompts, that crash servers.
 *
 * The control plane counts the crashes that all routers report. Crashes that it
 * has not recorded yet are counted locally, so that a router that is cut off
 * from the control plane also protects its servers.
 */
import {createHash} from 'node:crypto';
import {
  CrashEvidence,
  type CrashSubject,
  partIdOf,
  type RequestSubjects,
  type ServerCrash,
  type Suspect,
  toPartSubject,
} from '@lovagepond/core';
import {type lovagepond} from '@lovagepond/protocol';

type WireUpdate = lovagepond.v1.QuarantineUpdate.$Properties;

/** A report of crashes to the control plane. */
export type CrashReport = Pick<
  lovagepond.v1.CrashReport.$Properties,
  'crashes' | 'answered' | 'answeredParts'
>;

/** The content that identifies repeats of a request. */
export interface RequestContent {
  readonly method: string;
  readonly path: string;
  /** The caller's workspace; empty when unknown. */
  readonly workspace: string;
  readonly body: Uint8Array;
}

/** A subject that crashed this many servers isn't retried. */
export const SUSPECT_CRASHES = 2;

const FINGERPRINT_BYTES = 16;

/**
 * What was answered completely within this time before a crash didn't cause the
 * crash; milliseconds.
 */
const ANSWER_VALID_MS = 60_000;

/** Maximum number of subjects whose last answer's time is stored. */
const MAX_ANSWERED = 8_192;

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

/** Keeps suspects and the pending reports to the control plane. */
export class RequestQuarantine {
  readonly #localEvidence = new CrashEvidence();
  #suspectsFromControl = new Map<CrashSubject, Suspect>();
  #unreported: ServerCrash[] = [];
  #answered = new Set<CrashSubject>();
  /** Times of the last answers by subject; the oldest first. */
  readonly #answeredAt = new Map<CrashSubject, number>();
  #pendingReport:
    {crashes: ServerCrash[]; answered: Set<CrashSubject>} | undefined;

  /**
   * @param crash the crashed server and this router's requests at it
   * @param now current time, monotonic milliseconds
   */
  noteCrash(crash: ServerCrash, now: number): void {
    const counted = withoutSubjects(crash, subject =>
      this.wasAnswered(subject, now),
    );
    this.#localEvidence.noteCrash(counted, now);
    this.#unreported.push(counted);
    if (this.#unreported.length > MAX_UNREPORTED) this.#unreported.shift();
  }

  /**
   * @param request subjects of a request that a server answered completely
   * @param now current time, monotonic milliseconds
   */
  noteAnswered(request: RequestSubjects, now: number): void {
    for (const subject of request) this.#noteAnswered(subject, now);
    for (const oldest of this.#answeredAt.keys()) {
      if (this.#answeredAt.size <= MAX_ANSWERED) break;
      this.#answeredAt.delete(oldest);
    }
  }

  #noteAnswered(subject: CrashSubject, now: number): void {
    this.#answeredAt.delete(subject);
    this.#answeredAt.set(subject, now);
    const isLocal = this.#localEvidence.forget(subject, now);
    const isFromControl = this.#suspectsFromControl.delete(subject);
    if (isLocal || isFromControl) this.#answered.add(subject);
  }

  /**
   * @param request a request's subjects
   * @param now current time, monotonic milliseconds
   * @returns the suspicions against the request
   */
  suspicionsOf(request: RequestSubjects, now: number): readonly Suspect[] {
    return request
      .flatMap(subject => [
        this.#localEvidence.find(subject, now) ?? [],
        this.#suspectsFromControl.get(subject) ?? [],
      ])
      .flat()
      .filter(({companions}) => companions.every(one => request.includes(one)));
  }

  /**
   * @param request a request's subjects
   * @param now current time, monotonic milliseconds
   * @returns number of crashes under the most suspected one
   */
  crashesOf(request: RequestSubjects, now: number): number {
    const counts = this.suspicionsOf(request, now).map(one => one.crashes);
    return Math.max(0, ...counts);
  }

  /**
   * @param request a request's subjects
   * @param now current time, monotonic milliseconds
   * @returns time until the request may run, in milliseconds; undefined when it
   *     may run now
   */
  quarantinedForMs(request: RequestSubjects, now: number): number | undefined {
    const leftMs = this.suspicionsOf(request, now).map(
      ({quarantinedUntil}) => (quarantinedUntil ?? 0) - now,
    );
    const longestMs = Math.max(0, ...leftMs);
    return longestMs > 0 ? longestMs : undefined;
  }

  /** @returns number of suspects, for the state dump */
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
        requests: crash.requests.map(([first = '']) => toBytes(first)),
        parts: crash.requests.map(request => ({ids: partIdsOf(request)})),
        ageMs: Math.max(0, Math.round(now - crash.crashedAt)),
      })),
      answered: [...answered].filter(isFingerprint).map(toBytes),
      answeredParts: partIdsOf([...answered]),
    };
  }

  /** @param isRecorded false when the report must be sent again */
  endReport(isRecorded: boolean): void {
    const pendingReport = this.#pendingReport;
    this.#pendingReport = undefined;
    if (isRecorded || !pendingReport) return;
    this.#unreported = [...pendingReport.crashes, ...this.#unreported];
    for (const subject of pendingReport.answered) this.#answered.add(subject);
  }

  /**
   * @param update all suspects, from the control plane
   * @param now current time, monotonic milliseconds
   * @returns suspects that are newly quarantined, or whose quarantine covers
   *     more requests than before
   */
  apply(update: WireUpdate, now: number): readonly Suspect[] {
    const former = this.#suspectsFromControl;
    this.#suspectsFromControl = new Map();
    const quarantined: Suspect[] = [];
    for (const suspect of decodeSuspects(update, now)) {
      const {subject, companions, quarantinedUntil} = suspect;
      if (this.wasAnswered(subject, now)) {
        this.#answered.add(subject);
        continue;
      }
      this.#suspectsFromControl.set(subject, suspect);
      const known = former.get(subject);
      const isKnown =
        known?.quarantinedUntil !== undefined &&
        known.companions.length <= companions.length;
      if (quarantinedUntil !== undefined && !isKnown) quarantined.push(suspect);
    }
    this.#dropRecorded(now);
    return quarantined;
  }

  /**
   * @param subject a subject
   * @param now current time, monotonic milliseconds
   * @returns true when a request with it was answered completely of late
   */
  wasAnswered(subject: CrashSubject, now: number): boolean {
    const answeredAt = this.#answeredAt.get(subject) ?? -Infinity;
    return now - answeredAt <= ANSWER_VALID_MS;
  }

  #wasAnsweredAfter(subject: CrashSubject, at: number): boolean {
    return (this.#answeredAt.get(subject) ?? -Infinity) >= at;
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
      const counted = withoutSubjects(crash, subject =>
        this.#wasAnsweredAfter(subject, crash.crashedAt),
      );
      this.#localEvidence.noteCrash(counted, now);
    }
  }
}

/** @returns the crash without some of its subjects */
function withoutSubjects(
  crash: ServerCrash,
  isDropped: (subject: CrashSubject) => boolean,
): ServerCrash {
  const requests = crash.requests
    .map(request => request.filter(subject => !isDropped(subject)))
    .filter(({length}) => length > 0);
  return {...crash, requests};
}

function isFingerprint(subject: CrashSubject): boolean {
  return partIdOf(subject) === undefined;
}

function partIdsOf(subjects: readonly CrashSubject[]): string[] {
  return subjects.flatMap(subject => partIdOf(subject) ?? []);
}

/** @returns the fingerprint's bytes; none when the subject is a part */
function toBytes(subject: CrashSubject): Buffer {
  return Buffer.from(isFingerprint(subject) ? subject : '', 'hex');
}

function decodeSuspects(
  {suspects, parts}: WireUpdate,
  now: number,
): readonly Suspect[] {
  const untilOf = (forMs: number | null | undefined): number | undefined =>
    forMs ? now + forMs : undefined;
  const requests = (suspects ?? []).map(one => ({
    subject: Buffer.from(one.request ?? []).toString('hex'),
    crashes: one.crashes ?? 0,
    quarantinedUntil: untilOf(one.quarantinedForMs),
    companions: [],
  }));
  const suspectedParts = (parts ?? []).map(one => ({
    subject: toPartSubject(one.id ?? ''),
    crashes: one.crashes ?? 0,
    quarantinedUntil: untilOf(one.quarantinedForMs),
    companions: (one.companions ?? []).map(toPartSubject),
  }));
  return [...requests, ...suspectedParts];
}
