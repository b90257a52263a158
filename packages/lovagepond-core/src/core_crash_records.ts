/**
 * The crashes that count against each subject, in memory that is bounded.
 */
import {countCrashes, type CountedCrash} from './core_crash_count.js';
import {
  type CrashSubject,
  type RequestSubjects,
} from './core_crash_subjects.js';

/** A server that crashed while it ran requests. */
export interface ServerCrash {
  /** Identifies one run of the server; changes when the server restarts. */
  readonly server: string;
  /** The subjects of each request that the server ran. */
  readonly requests: readonly RequestSubjects[];
  /** Milliseconds, by the same clock as `now` of all methods. */
  readonly crashedAt: number;
}

/** The crashes of one subject. */
export interface Evidence {
  readonly subject: CrashSubject;
  crashes: CountedCrash[];
  quarantinedUntil: number | undefined;
  /** Number of quarantines so far, including the current one. */
  quarantines: number;
  /** Subjects of all requests with this one that were involved in crashes. */
  companions: readonly CrashSubject[] | undefined;
}

/** The names of stored fields are those of the first release. */
export interface CrashEvidenceSnapshot {
  readonly evidence: readonly {
    readonly request: CrashSubject;
    readonly crashes: readonly CountedCrash[];
    readonly quarantinedUntil: number | undefined;
    readonly quarantines: number;
    /** Absent in snapshots of releases that knew whole requests only. */
    readonly companions?: readonly CrashSubject[] | undefined;
  }[];
  readonly recent: readonly {
    readonly server: string;
    /** Releases that knew whole requests only stored their fingerprints. */
    readonly requests: readonly (string | RequestSubjects)[];
    readonly crashedAt: number;
  }[];
  /** Subjects and when they were cleared; absent in older snapshots. */
  readonly cleared?: readonly (readonly [CrashSubject, number])[];
}

/** Crashes retained for one subject. */
const MAX_CRASHES = 16;

/** Time without a further crash after which evidence expires, milliseconds. */
const RETENTION_MS = 24 * 3_600_000;

const MAX_SUBJECTS = 4_096;
const MAX_RECENT_CRASHES = 512;
const MAX_REQUESTS_OF_CRASH = 512;
const MAX_CLEARED = 4_096;

export class CrashRecords {
  readonly #evidence = new Map<CrashSubject, Evidence>();
  readonly #recent = new Map<string, ServerCrash>();
  /** When each subject was last cleared; the latest one last. */
  readonly #clearedAt = new Map<CrashSubject, number>();

  /** @returns the evidence against the subject, if there is any */
  find(subject: CrashSubject): Evidence | undefined {
    return this.#evidence.get(subject);
  }

  /** @returns the evidence against all subjects; the latest crash comes last */
  all(): readonly Evidence[] {
    return [...this.#evidence.values()];
  }

  /** @returns the crash with all its requests so far, if it was reported */
  findCrash(server: string): ServerCrash | undefined {
    return this.#recent.get(server);
  }

  /** @param crash the requests of one report, added to those known before */
  noteReport({server, requests, crashedAt}: ServerCrash): ServerCrash {
    const known = this.#recent.get(server);
    const merged = {
      server,
      requests: mergeRequests(known?.requests ?? [], requests),
      crashedAt: known?.crashedAt ?? crashedAt,
    };
    this.#recent.set(server, merged);
    dropOldest(this.#recent, MAX_RECENT_CRASHES);
    return merged;
  }

  /** Counts a crash against a subject, once. */
  addCrash(subject: CrashSubject, crash: CountedCrash): void {
    const known = this.#evidence.get(subject);
    const isCounted = known?.crashes.some(one => one.server === crash.server);
    if (isCounted) return;
    const evidence = known ?? {
      subject,
      crashes: [],
      quarantinedUntil: undefined,
      quarantines: 0,
      companions: undefined,
    };
    evidence.crashes.push(crash);
    if (evidence.crashes.length > MAX_CRASHES) evidence.crashes.shift();
    // Keeps the map in order of the latest crash, for expiry and eviction.
    this.#evidence.delete(subject);
    this.#evidence.set(subject, evidence);
  }

  /** Records which subjects were in one request at a crash that counts. */
  noteTogether(request: RequestSubjects, server: string): void {
    for (const subject of request) {
      const evidence = this.#evidence.get(subject);
      if (!evidence?.crashes.some(one => one.server === server)) continue;
      const {companions} = evidence;
      evidence.companions = companions
        ? companions.filter(other => request.includes(other))
        : request.filter(other => other !== subject);
    }
  }

  /** @returns the companions that were involved in all of its crashes */
  companionsOf({crashes, companions = []}: Evidence): CrashSubject[] {
    return companions.filter(other => {
      const others = this.#evidence.get(other)?.crashes ?? [];
      return crashes.every(({server}) =>
        others.some(one => one.server === server),
      );
    });
  }

  /** @returns the servers whose crashes count against the subject */
  crashedServersOf(subject: CrashSubject): ReadonlySet<string> {
    const crashes = this.#evidence.get(subject)?.crashes ?? [];
    return new Set(crashes.map(({server}) => server));
  }

  /** @returns the other subjects that were involved in the subject's crashes */
  concurrentSubjectsOf(subject: CrashSubject): readonly CrashSubject[] {
    const all = new Set<CrashSubject>();
    for (const server of this.crashedServersOf(subject)) {
      const requests = this.#recent.get(server)?.requests ?? [];
      for (const other of requests.flat()) all.add(other);
    }
    all.delete(subject);
    return [...all];
  }

  /** @returns number of crashes; those with a common cause count once */
  countCrashesOf(subject: CrashSubject): number {
    const evidence = this.#evidence.get(subject);
    return evidence ? countCrashes(evidence.crashes) : 0;
  }

  /** Removes crashes that another subject caused. */
  removeCrashes(
    {subject, crashes}: Evidence,
    servers: ReadonlySet<string>,
  ): void {
    const left = crashes.filter(({server}) => !servers.has(server));
    const evidence = this.#evidence.get(subject);
    if (left.length === 0) this.#evidence.delete(subject);
    else if (evidence) evidence.crashes = left;
  }

  /**
   * @param subject the subject to drop the evidence of
   * @returns false when there was none
   */
  remove(subject: CrashSubject): boolean {
    return this.#evidence.delete(subject);
  }

  /** Records that the subject can't have caused the crashes so far. */
  setCleared(subject: CrashSubject, now: number): void {
    this.#clearedAt.delete(subject);
    this.#clearedAt.set(subject, now);
    dropOldest(this.#clearedAt, MAX_CLEARED);
  }

  /** @returns true when the subject was cleared at the time or later */
  isCleared(subject: CrashSubject, at: number): boolean {
    return at <= (this.#clearedAt.get(subject) ?? Number.NEGATIVE_INFINITY);
  }

  /** Drops the evidence of long ago. */
  dropExpired(now: number): void {
    for (const [subject, {crashes, quarantinedUntil}] of this.#evidence) {
      const last = Math.max(quarantinedUntil ?? 0, crashes.at(-1)?.at ?? 0);
      if (now - last <= RETENTION_MS) return;
      this.#evidence.delete(subject);
    }
  }

  /** Evicts the oldest evidence, that of quarantined subjects last. */
  dropExcess(): void {
    const isQuarantined = ({quarantinedUntil: until}: Evidence): boolean =>
      until !== undefined;
    const all = [...this.#evidence.values()];
    const byValue = [
      ...all.filter(one => !isQuarantined(one)),
      ...all.filter(isQuarantined),
    ];
    const excess = Math.max(0, all.length - MAX_SUBJECTS);
    for (const {subject} of byValue.slice(0, excess)) {
      this.#evidence.delete(subject);
    }
  }

  /** @returns the serialized form */
  snapshot(): CrashEvidenceSnapshot {
    const evidence = [...this.#evidence.values()].map(
      ({subject: request, ...rest}) => ({request, ...rest}),
    );
    const recent = [...this.#recent.values()];
    const cleared = [...this.#clearedAt];
    return structuredClone({evidence, recent, cleared});
  }

  /**
   * @param snapshot the result of {@link snapshot}; undefined when an older
   *     version of the program wrote the state
   */
  restore(snapshot: CrashEvidenceSnapshot | undefined): void {
    this.#evidence.clear();
    this.#recent.clear();
    this.#clearedAt.clear();
    if (!snapshot) return;
    const {evidence, recent, cleared = []} = structuredClone(snapshot);
    for (const {request: subject, crashes, companions, ...rest} of evidence) {
      const one = {subject, crashes: [...crashes], companions, ...rest};
      this.#evidence.set(subject, one);
    }
    for (const {requests, ...rest} of recent) {
      const one = {...rest, requests: requests.map(toRequest)};
      this.#recent.set(one.server, one);
    }
    for (const [subject, at] of cleared) this.#clearedAt.set(subject, at);
  }
}

/** @returns the requests of all reports of one crash, each once */
function mergeRequests(
  known: readonly RequestSubjects[],
  reported: readonly RequestSubjects[],
): readonly RequestSubjects[] {
  const merged = new Map<string, RequestSubjects>();
  for (const request of [...known, ...reported]) {
    const key = request.join(' ');
    if (!merged.has(key)) merged.set(key, request);
  }
  return [...merged.values()].slice(0, MAX_REQUESTS_OF_CRASH);
}

/** @param stored subjects of a request, or only its fingerprint */
function toRequest(stored: string | RequestSubjects): RequestSubjects {
  return typeof stored === 'string' ? [stored] : stored;
}

function dropOldest(map: Map<string, unknown>, limit: number): void {
  for (const oldest of map.keys()) {
    if (map.size <= limit) return;
    map.delete(oldest);
  }
}
