/**
 * Finds requests that crash the backend servers that run them (poison-pill
 * requests), and quarantines them.
 *
 * All requests of a server fail when it crashes, but only one of them caused
 * the crash. A request is quarantined after three crashes, or after five if
 * another request that ran on the same servers was involved in as many. The
 * crashes are then attributed to the quarantined request and no longer count
 * for others. One complete answer from any server clears a request.
 *
 * Deterministic: the same calls in the same order give the same state.
 */

/** A server that crashed while it ran requests. */
export interface ServerCrash {
  /** Identifies one run of the server; changes when the server restarts. */
  readonly server: string;
  /** Fingerprints of the requests that the server ran. */
  readonly requests: readonly string[];
  /** Milliseconds, by the same clock as `now` of all methods. */
  readonly crashedAt: number;
}

/** The evidence against one request. */
export interface Suspect {
  /** The request's fingerprint. */
  readonly request: string;
  /** Crashes of servers that ran it; those with a common cause count once. */
  readonly crashes: number;
  /** End of the quarantine, milliseconds; undefined when not quarantined. */
  readonly quarantinedUntil: number | undefined;
}

interface CountedCrash {
  readonly server: string;
  readonly at: number;
}

interface Evidence {
  readonly request: string;
  crashes: CountedCrash[];
  quarantinedUntil: number | undefined;
  /** Number of quarantines so far, including the current one. */
  quarantines: number;
}

export interface CrashEvidenceSnapshot {
  readonly evidence: readonly Readonly<Evidence>[];
  readonly recent: readonly ServerCrash[];
  /** Requests and when they were cleared; absent in older snapshots. */
  readonly cleared?: readonly (readonly [string, number])[];
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
} as const;

export type CrashRules = (typeof CRASH_RULES)[keyof typeof CRASH_RULES];

/** Number of crashes at which a request may be quarantined. */
const QUARANTINE_CRASHES = 3;

/** Number of crashes at which a request is quarantined in any case. */
const CONCLUSIVE_CRASHES = 5;

/** Number of crashes at which a request is published to all routers. */
const SUSPECT_CRASHES = 2;

/**
 * This many crashes within this time (milliseconds) are assumed to have a
 * common cause, such as a power failure, and count as one.
 */
const COMMON_CAUSE_CRASHES = 3;
const COMMON_CAUSE_MS = 200;

/** Crashes retained for one request. */
const MAX_CRASHES = 16;

/** Length of a request's first quarantine, doubled for each further one, ms. */
const FIRST_QUARANTINE_MS = 3_600_000;
const LONGEST_QUARANTINE_MS = 24 * FIRST_QUARANTINE_MS;

/** Time without a further crash after which evidence expires, milliseconds. */
const RETENTION_MS = 24 * FIRST_QUARANTINE_MS;

const MAX_REQUESTS = 4_096;
const MAX_RECENT_CRASHES = 512;
const MAX_REQUESTS_OF_CRASH = 512;
const MAX_CLEARED = 4_096;

/** Records crashes and decides which requests to quarantine. */
export class CrashEvidence {
  readonly #evidence = new Map<string, Evidence>();
  readonly #recent = new Map<string, ServerCrash>();
  /** When each request was last cleared; the latest one last. */
  readonly #clearedAt = new Map<string, number>();
  #version = 0;

  /** Incremented with each change of {@link suspects}. */
  get version(): number {
    return this.#version;
  }

  /**
   * Records a crash. Reports of one crash by several routers are merged, and a
   * repeated report has no effect. A report may arrive after a request that it
   * names was cleared: an earlier crash then doesn't count for that request.
   *
   * @param crash the server and the requests that the reporter had sent to it
   * @param now current time, milliseconds
   * @param rules how repeated reports are counted
   * @returns requests that are now quarantined because of this crash
   */
  noteCrash(
    crash: ServerCrash,
    now: number,
    rules: CrashRules = CRASH_RULES.COUNTED_ONCE,
  ): readonly string[] {
    this.#dropExpired(now);
    const known = this.#recent.get(crash.server);
    const crashedAt = known?.crashedAt ?? crash.crashedAt;
    const union = new Set([...(known?.requests ?? []), ...crash.requests]);
    const requests = [...union].slice(0, MAX_REQUESTS_OF_CRASH);
    if (requests.length === known?.requests.length) return [];
    const {server} = crash;
    this.#recent.set(server, {server, requests, crashedAt});
    dropOldest(this.#recent, MAX_RECENT_CRASHES);
    const isAttributed = requests.some(request =>
      this.#isQuarantined(request, now),
    );
    const isRecounted = rules === CRASH_RULES.RECOUNTED;
    for (const request of requests) {
      const isCounted = known?.requests.includes(request) ?? false;
      const isOutdated = isCounted || this.#isCleared(request, crashedAt);
      if (isOutdated && !isRecounted) continue;
      if (isAttributed && !this.#isQuarantined(request, now)) continue;
      this.#addCrash(request, {server, at: crashedAt});
    }
    this.#dropExcess();
    this.#version += 1;
    return this.#decide(requests, now);
  }

  /**
   * Drops the evidence against a request, because a server answered it
   * completely or an operator lifted its quarantine.
   *
   * @param request the request's fingerprint
   * @param now current time, milliseconds; crashes before it no longer count
   * @param rules how later reports of earlier crashes are counted
   * @returns false when there was no evidence
   */
  forget(
    request: string,
    now: number,
    rules: CrashRules = CRASH_RULES.COUNTED_ONCE,
  ): boolean {
    if (rules !== CRASH_RULES.RECOUNTED) this.#setCleared(request, now);
    if (!this.#evidence.delete(request)) return false;
    this.#version += 1;
    return true;
  }

  /**
   * @param crash a crash, as it is reported
   * @returns its requests that were cleared at the time of the crash or later,
   *     so that it doesn't count for them
   */
  clearedSince({server, requests, crashedAt}: ServerCrash): readonly string[] {
    const at = this.#recent.get(server)?.crashedAt ?? crashedAt;
    return requests.filter(request => this.#isCleared(request, at));
  }

  /**
   * @param request the request's fingerprint
   * @param now current time, milliseconds
   * @returns the evidence against the request, if there is any
   */
  find(request: string, now: number): Suspect | undefined {
    const evidence = this.#evidence.get(request);
    return evidence && toSuspect(evidence, now);
  }

  /**
   * @param now current time, milliseconds
   * @returns the requests to publish to all routers
   */
  suspects(now: number): readonly Suspect[] {
    const all = [...this.#evidence.values()];
    return all
      .map(evidence => toSuspect(evidence, now))
      .filter(({crashes}) => crashes >= SUSPECT_CRASHES);
  }

  /** @returns the serialized form */
  snapshot(): CrashEvidenceSnapshot {
    const evidence = [...this.#evidence.values()];
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
    this.#version += 1;
    if (!snapshot) return;
    const {evidence, recent, cleared = []} = structuredClone(snapshot);
    for (const one of evidence) {
      this.#evidence.set(one.request, one as Evidence);
    }
    for (const one of recent) this.#recent.set(one.server, one);
    for (const [request, at] of cleared) this.#clearedAt.set(request, at);
  }

  #setCleared(request: string, now: number): void {
    this.#clearedAt.delete(request);
    this.#clearedAt.set(request, now);
    dropOldest(this.#clearedAt, MAX_CLEARED);
  }

  /** @returns true when the request was cleared at the time or later */
  #isCleared(request: string, at: number): boolean {
    return at <= (this.#clearedAt.get(request) ?? Number.NEGATIVE_INFINITY);
  }

  #addCrash(request: string, crash: CountedCrash): void {
    const known = this.#evidence.get(request);
    const isCounted = known?.crashes.some(one => one.server === crash.server);
    if (isCounted) return;
    const evidence = known ?? {
      request,
      crashes: [],
      quarantinedUntil: undefined,
      quarantines: 0,
    };
    evidence.crashes.push(crash);
    if (evidence.crashes.length > MAX_CRASHES) evidence.crashes.shift();
    // Keeps the map in order of the latest crash, for expiry and eviction.
    this.#evidence.delete(request);
    this.#evidence.set(request, evidence);
  }

  #decide(requests: readonly string[], now: number): string[] {
    const quarantined: string[] = [];
    for (const request of requests) {
      const count = this.#countCrashesOf(request);
      if (count < QUARANTINE_CRASHES) continue;
      const isConclusive = count >= CONCLUSIVE_CRASHES;
      if (!isConclusive && this.#hasEqualSuspect(request, count, now)) continue;
      if (this.#quarantine(request, now)) quarantined.push(request);
    }
    for (const request of quarantined) this.#attributeCrashes(request, now);
    return quarantined;
  }

  /** @returns true when another request may equally have caused the crashes */
  #hasEqualSuspect(request: string, count: number, now: number): boolean {
    return this.#concurrentRequestsOf(request).some(
      other =>
        !this.#isQuarantined(other, now) &&
        this.#countCrashesOf(other) >= count,
    );
  }

  /** Removes the quarantined request's crashes from the other requests. */
  #attributeCrashes(request: string, now: number): void {
    const servers = this.#crashedServersOf(request);
    for (const other of this.#concurrentRequestsOf(request)) {
      const evidence = this.#evidence.get(other);
      if (!evidence || this.#isQuarantined(other, now)) continue;
      evidence.crashes = evidence.crashes.filter(
        ({server}) => !servers.has(server),
      );
      if (evidence.crashes.length === 0) this.#evidence.delete(other);
    }
  }

  #crashedServersOf(request: string): ReadonlySet<string> {
    const crashes = this.#evidence.get(request)?.crashes ?? [];
    return new Set(crashes.map(({server}) => server));
  }

  /** @returns the other requests that were involved in the request's crashes */
  #concurrentRequestsOf(request: string): readonly string[] {
    const all = new Set<string>();
    for (const server of this.#crashedServersOf(request)) {
      const others = this.#recent.get(server)?.requests ?? [];
      for (const other of others) all.add(other);
    }
    all.delete(request);
    return [...all];
  }

  #isQuarantined(request: string, now: number): boolean {
    return (this.#evidence.get(request)?.quarantinedUntil ?? 0) > now;
  }

  #quarantine(request: string, now: number): boolean {
    const evidence = this.#evidence.get(request);
    if (!evidence || this.#isQuarantined(request, now)) return false;
    const lengthMs = FIRST_QUARANTINE_MS * 2 ** evidence.quarantines;
    evidence.quarantines += 1;
    evidence.quarantinedUntil = now + Math.min(lengthMs, LONGEST_QUARANTINE_MS);
    return true;
  }

  #countCrashesOf(request: string): number {
    const evidence = this.#evidence.get(request);
    return evidence ? countCrashes(evidence.crashes) : 0;
  }

  #dropExpired(now: number): void {
    for (const [request, {crashes, quarantinedUntil}] of this.#evidence) {
      const last = Math.max(quarantinedUntil ?? 0, crashes.at(-1)?.at ?? 0);
      if (now - last <= RETENTION_MS) return;
      this.#evidence.delete(request);
    }
  }

  /** Evicts the oldest evidence, that of quarantined requests last. */
  #dropExcess(): void {
    while (this.#evidence.size > MAX_REQUESTS) {
      const all = [...this.#evidence.values()];
      const oldest =
        all.find(({quarantinedUntil}) => quarantinedUntil === undefined) ??
        all[0];
      if (oldest) this.#evidence.delete(oldest.request);
    }
  }
}

function toSuspect(
  {request, crashes, ...rest}: Evidence,
  now: number,
): Suspect {
  const {quarantinedUntil: until} = rest;
  const isOver = until === undefined || until <= now;
  const quarantinedUntil = isOver ? undefined : until;
  return {request, crashes: countCrashes(crashes), quarantinedUntil};
}

/** Counts crashes, those with a common cause as one. */
function countCrashes(crashes: readonly CountedCrash[]): number {
  const times = crashes.map(({at}) => at).sort((a, b) => a - b);
  let count = 0;
  for (let from = 0; from < times.length;) {
    const first = times[from] ?? 0;
    const together = times.filter(
      time => time >= first && time - first <= COMMON_CAUSE_MS,
    ).length;
    count += together >= COMMON_CAUSE_CRASHES ? 1 : together;
    from += together;
  }
  return count;
}

function dropOldest(map: Map<string, unknown>, limit: number): void {
  for (const oldest of map.keys()) {
    if (map.size <= limit) return;
    map.delete(oldest);
  }
}
