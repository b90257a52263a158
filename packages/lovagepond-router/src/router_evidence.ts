/**
 * This router's own evidence of failed backend servers. It takes effect before
 * the server's lease at the control plane expires: a server that can't be
 * connected to gets no requests for a while.
 *
 * One silent connection doesn't make a server suspect. A new connection that
 * fails does, and so do several silent connections in a row.
 */
import {type Random} from '@lovagepond/core';
import {type AttemptTarget, type EvidenceKind} from './router_request_types.js';

/** Settings of {@link RouterEvidence}. Times are milliseconds. */
export interface EvidenceSettings {
  /** Approximate time from the first suspicion to the probe. */
  readonly suspicionMs: number;
  /** Limit of that time, which doubles with each consecutive failure. */
  readonly maxSuspicionMs: number;
  /** This many silent connections without a response count as a failure. */
  readonly silentConnections: number;
  /** How long a server that refuses all requests is avoided. */
  readonly unavailableMs: number;
  /** A server that fails within this time after its recovery is flapping. */
  readonly flapWindowMs: number;
}

/** Defaults, which suit a lease of a few seconds. */
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
  /** Consecutive failures; each doubles the time to the next probe. */
  failures: number;
  probeAt: number;
  probing: boolean;
  unavailableUntil: number;
  /** When the server last recovered; a failure soon after means flapping. */
  clearedAt: number;
}

/** Suspicions by sidecar incarnation; a restarted sidecar has none. */
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

  /** @returns number of suspected servers */
  get suspects(): number {
    let count = 0;
    for (const {suspect} of this.#byIncarnation.values()) {
      if (suspect) count += 1;
    }
    return count;
  }

  /**
   * @param incarnation a sidecar incarnation
   * @param now current time, monotonic milliseconds
   * @returns true when requests should go to other servers if possible
   */
  isSuspect(incarnation: string, now: number): boolean {
    const record = this.#byIncarnation.get(incarnation);
    if (!record) return false;
    return record.suspect || now < record.unavailableUntil;
  }

  /**
   * @param target the server
   * @param evidence the kind of evidence
   * @param now current time, monotonic milliseconds
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
   * Frames don't clear the mark, as a draining server still sends those of its
   * open streams. The mark ends at its time limit or when a membership update
   * no longer lists the server.
   */
  #noteUnavailable(record: Suspicion, now: number): void {
    record.unavailableUntil = now + this.#settings.unavailableMs;
  }

  /**
   * Records a frame or a response to a probe, which clears a suspicion.
   *
   * @param incarnation the sidecar incarnation that sent it
   * @param now current time, monotonic milliseconds
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
   * A suspected server is probed by a dedicated message instead of a caller's
   * request, and at a random time: a thousand routers that all send to a server
   * as soon as it recovers would make it fail again.
   *
   * @param now current time, monotonic milliseconds
   * @returns servers to probe now; each is returned once until its probe's
   *     result is recorded
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
   * @param target the server that didn't respond to its probe
   * @param now current time, monotonic milliseconds
   */
  noteProbeFailed(target: AttemptTarget, now: number): void {
    const record = this.#byIncarnation.get(target.incarnation);
    if (!record) return;
    record.probing = false;
    this.#fail(record, now);
  }

  /** @param incarnations the current sidecar incarnations */
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
    // Requests that fail at the same time count as one failure.
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
