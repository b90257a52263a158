/**
 * Finds what crashes the backend servers that run it (poison pills): requests,
 * or parts that the prompts of different requests share. Quarantines them.
 *
 * All requests of a server fail when it crashes, but only one of them caused
 * the crash. A subject is quarantined after three crashes, or after five if
 * another subject of the same servers was involved in as many. The crashes are
 * then attributed to the quarantined subject and no longer count for others.
 * One complete answer from any server clears all subjects of its request.
 *
 * Parts that were in the same requests at all of their crashes can't be told
 * apart: a quarantine of one covers only requests that have all of them.
 *
 * Deterministic: the same calls in the same order give the same state.
 */
import {
  type CrashEvidenceSnapshot,
  CrashRecords,
  type Evidence,
  type ServerCrash,
} from './core_crash_records.js';
import {
  type CrashSubject,
  partIdOf,
  type RequestSubjects,
} from './core_crash_subjects.js';

/** The evidence against one subject. */
export interface Suspect {
  readonly subject: CrashSubject;
  /** Crashes of servers that ran it; those with a common cause count once. */
  readonly crashes: number;
  /** End of the quarantine, milliseconds; undefined when not quarantined. */
  readonly quarantinedUntil: number | undefined;
  /**
   * Subjects that may be the cause instead, as they were in the same requests:
   * the quarantine covers only requests that have all of them.
   */
  readonly companions: readonly CrashSubject[];
}

/**
 * How repeated reports of one crash are counted. Members of control that apply
 * the same log must count alike, so the log's commands name the rules.
 */
export const CRASH_RULES = {
  /** The rules of earlier releases: each report counts for all requests. */
  RECOUNTED: 1,
  /** Each crash counts once, and not for a request that was cleared since. */
  COUNTED_ONCE: 2,
  /** As before, for the shared parts of prompts as well. */
  BY_SUBJECT: 3,
} as const;

export type CrashRules = (typeof CRASH_RULES)[keyof typeof CRASH_RULES];

/** Number of crashes at which a subject may be quarantined. */
const QUARANTINE_CRASHES = 3;

/** Number of crashes at which a subject is quarantined in any case. */
const CONCLUSIVE_CRASHES = 5;

/** Number of crashes at which a subject is published to all routers. */
const SUSPECT_CRASHES = 2;

/** Length of a subject's first quarantine, doubled for each further one, ms. */
const FIRST_QUARANTINE_MS = 3_600_000;
const LONGEST_QUARANTINE_MS = 24 * FIRST_QUARANTINE_MS;

/** Records crashes and decides which subjects to quarantine. */
export class CrashEvidence {
  readonly #records = new CrashRecords();
  #version = 0;

  /** Incremented with each change of {@link suspects}. */
  get version(): number {
    return this.#version;
  }

  /**
   * Records a crash. Reports of one crash by several routers are merged, and a
   * repeated report has no effect. A report may arrive after a subject that it
   * names was cleared: an earlier crash then doesn't count for that subject.
   *
   * @param crash the server and the requests that the reporter had sent to it
   * @param now current time, milliseconds
   * @param rules how repeated reports are counted
   * @returns subjects that are now quarantined because of this crash
   */
  noteCrash(
    crash: ServerCrash,
    now: number,
    rules: CrashRules = CRASH_RULES.BY_SUBJECT,
  ): readonly CrashSubject[] {
    this.#records.dropExpired(now);
    const {server} = crash;
    const known = this.#records.findCrash(server);
    const {requests, crashedAt} = this.#records.noteReport(crash);
    if (requests.length === known?.requests.length) return [];
    const isAttributed = requests.some(request =>
      this.#isQuarantinedRequest(request, now),
    );
    const counted = new Set(known?.requests.flat());
    const isRecounted = rules === CRASH_RULES.RECOUNTED;
    const subjects = [...new Set(requests.flat())];
    for (const subject of subjects) {
      const isOutdated =
        counted.has(subject) || this.#records.isCleared(subject, crashedAt);
      if (isOutdated && !isRecounted) continue;
      if (isAttributed && !this.#isQuarantined(subject, now)) continue;
      this.#records.addCrash(subject, {server, at: crashedAt});
    }
    for (const request of crash.requests) {
      this.#records.noteTogether(request, server);
    }
    this.#records.dropExcess();
    this.#noteChanged(subjects);
    return this.#decide(subjects, now);
  }

  /**
   * Drops the evidence against a subject, because a server answered a request
   * with it completely or an operator lifted its quarantine.
   *
   * @param subject the subject
   * @param now current time, milliseconds; crashes before it no longer count
   * @param rules how later reports of earlier crashes are counted
   * @returns false when there was no evidence
   */
  forget(
    subject: CrashSubject,
    now: number,
    rules: CrashRules = CRASH_RULES.BY_SUBJECT,
  ): boolean {
    if (rules !== CRASH_RULES.RECOUNTED) this.#records.setCleared(subject, now);
    this.#noteChanged([subject]);
    return this.#records.remove(subject);
  }

  /**
   * @param crash a crash, as it is reported
   * @returns its subjects that were cleared at the time of the crash or later,
   *     so that it doesn't count for them
   */
  clearedSince({
    server,
    requests,
    crashedAt,
  }: ServerCrash): readonly CrashSubject[] {
    const at = this.#records.findCrash(server)?.crashedAt ?? crashedAt;
    const subjects = [...new Set(requests.flat())];
    return subjects.filter(subject => this.#records.isCleared(subject, at));
  }

  /**
   * @param subject a subject
   * @param now current time, milliseconds
   * @returns the evidence against it, if there is any
   */
  find(subject: CrashSubject, now: number): Suspect | undefined {
    const evidence = this.#records.find(subject);
    return evidence && this.#toSuspect(evidence, now);
  }

  /**
   * @param now current time, milliseconds
   * @returns the subjects to publish to all routers
   */
  suspects(now: number): readonly Suspect[] {
    return this.#records
      .all()
      .map(evidence => this.#toSuspect(evidence, now))
      .filter(({crashes}) => crashes >= SUSPECT_CRASHES);
  }

  /** @returns the serialized form */
  snapshot(): CrashEvidenceSnapshot {
    return this.#records.snapshot();
  }

  /**
   * @param snapshot the result of {@link snapshot}; undefined when an older
   *     version of the program wrote the state
   */
  restore(snapshot: CrashEvidenceSnapshot | undefined): void {
    this.#version += 1;
    this.#records.restore(snapshot);
  }

  /** Must be called before evidence is deleted, or after it was added. */
  #noteChanged(subjects: readonly CrashSubject[]): void {
    const isPublished = subjects.some(
      subject => this.#records.countCrashesOf(subject) >= SUSPECT_CRASHES,
    );
    if (isPublished) this.#version += 1;
  }

  #decide(subjects: readonly CrashSubject[], now: number): CrashSubject[] {
    const quarantined: CrashSubject[] = [];
    for (const subject of subjects) {
      const evidence = this.#records.find(subject);
      const count = this.#records.countCrashesOf(subject);
      if (!evidence || count < QUARANTINE_CRASHES) continue;
      if (this.#isOfOneRequest(evidence)) continue;
      const isConclusive = count >= CONCLUSIVE_CRASHES;
      if (!isConclusive && this.#hasEqualSuspect(evidence, count, now)) {
        continue;
      }
      if (this.#quarantine(evidence, now)) quarantined.push(subject);
    }
    for (const subject of quarantined) this.#attributeCrashes(subject, now);
    return quarantined;
  }

  /** @returns true for a part whose crashes were all by one repeated request */
  #isOfOneRequest(evidence: Evidence): boolean {
    if (partIdOf(evidence.subject) === undefined) return false;
    return this.#records
      .companionsOf(evidence)
      .some(other => partIdOf(other) === undefined);
  }

  /** @returns true when another subject may equally have caused the crashes */
  #hasEqualSuspect(evidence: Evidence, count: number, now: number): boolean {
    const {subject, companions = []} = evidence;
    return this.#records.concurrentSubjectsOf(subject).some(other => {
      if (companions.includes(other)) return false;
      const {companions: others = []} = this.#records.find(other) ?? {};
      if (others.includes(subject)) return false;
      return (
        !this.#isQuarantined(other, now) &&
        this.#records.countCrashesOf(other) >= count
      );
    });
  }

  /** Removes the quarantined subject's crashes from the other subjects. */
  #attributeCrashes(subject: CrashSubject, now: number): void {
    const servers = this.#records.crashedServersOf(subject);
    for (const other of this.#records.concurrentSubjectsOf(subject)) {
      const evidence = this.#records.find(other);
      if (!evidence || this.#isQuarantined(other, now)) continue;
      this.#records.removeCrashes(evidence, servers);
    }
  }

  #isQuarantined(subject: CrashSubject, now: number): boolean {
    return (this.#records.find(subject)?.quarantinedUntil ?? 0) > now;
  }

  #isQuarantinedRequest(request: RequestSubjects, now: number): boolean {
    return request.some(subject => {
      const evidence = this.#records.find(subject);
      if (!evidence || !this.#isQuarantined(subject, now)) return false;
      return this.#records
        .companionsOf(evidence)
        .every(one => request.includes(one));
    });
  }

  #quarantine(evidence: Evidence, now: number): boolean {
    if (this.#isQuarantined(evidence.subject, now)) return false;
    const lengthMs = FIRST_QUARANTINE_MS * 2 ** evidence.quarantines;
    evidence.quarantines += 1;
    evidence.quarantinedUntil = now + Math.min(lengthMs, LONGEST_QUARANTINE_MS);
    return true;
  }

  #toSuspect(evidence: Evidence, now: number): Suspect {
    const {subject, quarantinedUntil: until} = evidence;
    const isOver = until === undefined || until <= now;
    return {
      subject,
      crashes: this.#records.countCrashesOf(subject),
      quarantinedUntil: isOver ? undefined : until,
      companions: this.#records.companionsOf(evidence),
    };
  }
}
