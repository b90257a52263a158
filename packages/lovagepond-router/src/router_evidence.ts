/**
 * This router's own evidence against backend servers, which outruns control's
 * lease: a server that can't be connected to gets no request for a while.
 *
 * Silence on one connection is no evidence against the server; only a fresh
 * connection that fails is, or connection after connection that falls silent.
 */
import {type Random} from '@lovagepond/core';
import {type AttemptTarget, type EvidenceKind} from './router_request_types.js';

/** Settings of {@link RouterEvidence}. Times are milliseconds. */
export interface EvidenceSettings {
  /** First suspicion lasts about so long before the server is probed. */
  readonly suspicionMs: number;
  /** Suspicion doubles with each failure in a row, up to this. */
  readonly maxSuspicionMs: number;
  /** So many silent connections without one answer count as a failure. */
  readonly silentConnections: number;
  /** A server that said it takes nothing is left alone for so long. */
  readonly unavailableMs: number;
  /** A server that failed again within this time after it came back flaps. */
  readonly flapWindowMs: number;
}

/** Values that fit a lease of a few seconds. */
export const DEFAULT_EVIDENCE_SETTINGS: EvidenceSettings = Object.freeze({
  suspicionMs: 500,
  maxSuspicionMs: 30_000,
  silentConnections: 3,
  unavailableMs: 2_000,
  flapWindowMs: 60_000,
});

const MAX_DOUBLINGS = 10;

interface Suspicion {
  readonly target: AttemptTarget;
  suspect: boolean;
  silent: number;
  /** Failures not yet forgotten; each doubles the next suspicion. */
  failures: number;
  probeAt: number;
  probing: boolean;
  unavailableUntil: number;
  /** When it came back last; a failure soon after is a flap. */
  clearedAt: number;
}

/** Suspicions by sidecar incarnation; a restarted server starts clean. */
export class RouterEvidence {
  static readonly #evidenceHandlers: Readonly<
    Record<
      EvidenceKind,
      (evidence: RouterEvidence, record: Suspicion, now: number) => void
    >
  > = {
    silent: (evidence, record, now) => evidence.#noteSilent(record, now),
    unavailable: (evidence, record, now) =>
      evidence.#noteUnavailable(record, now),
    unreachable: (evidence, record, now) => evidence.#fail(record, now),
  };

  readonly #settings: EvidenceSettings;
  readonly #random: Random;
  readonly #byIncarnation = new Map<string, Suspicion>();

  constructor(settings: EvidenceSettings, random: Random) {
    this.#settings = settings;
    this.#random = random;
  }

  /** @returns number of servers under suspicion */
  get suspects(): number {
    let count = 0;
    for (const {suspect} of this.#byIncarnation.values()) {
      if (suspect) count += 1;
    }
    return count;
  }

  /**
   * @param incarnation a sidecar incarnation
   * @param now present time, monotonic milliseconds
   * @returns true when it should get no request that another can take
   */
  isSuspect(incarnation: string, now: number): boolean {
    const record = this.#byIncarnation.get(incarnation);
    if (!record) return false;
    return record.suspect || now < record.unavailableUntil;
  }

  /**
   * @param target the server
   * @param evidence what speaks against it
   * @param now present time, monotonic milliseconds
   */
  note(target: AttemptTarget, evidence: EvidenceKind, now: number): void {
    RouterEvidence.#evidenceHandlers[evidence](
      this,
      this.#recordOf(target),
      now,
    );
  }

  #noteSilent(record: Suspicion, now: number): void {
    record.silent += 1;
    if (record.silent >= this.#settings.silentConnections) {
      this.#fail(record, now);
    }
  }

  /**
   * A server that leaves still finishes streams here, so that it is heard;
   * only time, or the next list from control, ends this.
   */
  #noteUnavailable(record: Suspicion, now: number): void {
    record.unavailableUntil = now + this.#settings.unavailableMs;
  }

  /**
   * A frame or a probe's answer came.
   *
   * @param incarnation who was heard
   * @param now present time, monotonic milliseconds
   */
  noteResponse(incarnation: string, now: number): void {
    const record = this.#byIncarnation.get(incarnation);
    if (!record) return;
    record.silent = 0;
    record.probing = false;
    if (record.suspect) {
      record.suspect = false;
      record.clearedAt = now;
      return;
    }
    const flapEnd = record.clearedAt + this.#settings.flapWindowMs;
    const kept = now <= flapEnd || now < record.unavailableUntil;
    if (!kept) this.#byIncarnation.delete(incarnation);
  }

  /**
   * A suspect is probed by a message of its own and not by a caller's request,
   * and at a time that differs from router to router: a thousand routers that
   * all send to a server in the moment it is back would end it again.
   *
   * @param now present time, monotonic milliseconds
   * @returns servers to probe now; each is given once until its probe is noted
   */
  takeDueProbes(now: number): AttemptTarget[] {
    const due: AttemptTarget[] = [];
    for (const record of this.#byIncarnation.values()) {
      if (!record.suspect || record.probing || now < record.probeAt) continue;
      record.probing = true;
      due.push(record.target);
    }
    return due;
  }

  /**
   * @param target the server that did not answer its probe
   * @param now present time, monotonic milliseconds
   */
  noteProbeFailed(target: AttemptTarget, now: number): void {
    const record = this.#byIncarnation.get(target.incarnation);
    if (!record) return;
    record.probing = false;
    this.#fail(record, now);
  }

  /** @param incarnations the sidecar incarnations that still exist */
  keepOnly(incarnations: ReadonlySet<string>): void {
    for (const incarnation of this.#byIncarnation.keys()) {
      if (!incarnations.has(incarnation)) {
        this.#byIncarnation.delete(incarnation);
      }
    }
  }

  #recordOf(target: AttemptTarget): Suspicion {
    const known = this.#byIncarnation.get(target.incarnation);
    if (known) return known;
    const made: Suspicion = {
      target,
      suspect: false,
      silent: 0,
      failures: 0,
      probeAt: 0,
      probing: false,
      unavailableUntil: 0,
      clearedAt: Number.NEGATIVE_INFINITY,
    };
    this.#byIncarnation.set(target.incarnation, made);
    return made;
  }

  #fail(record: Suspicion, now: number): void {
    const {suspicionMs, maxSuspicionMs, flapWindowMs} = this.#settings;
    const wasSuspect = record.suspect;
    // Many requests fail in the same moment: that is one failure.
    if (wasSuspect && now < record.probeAt) return;
    const flapped = now - record.clearedAt <= flapWindowMs;
    const isRepeated = wasSuspect || flapped;
    record.failures = isRepeated ? record.failures + 1 : 0;
    record.suspect = true;
    record.silent = 0;
    const doublings = Math.min(record.failures, MAX_DOUBLINGS);
    const ceiling = Math.min(maxSuspicionMs, suspicionMs * 2 ** doublings);
    record.probeAt = now + ceiling * (0.5 + this.#random.next() / 2);
  }
}
