/**
 * Which software versions served each pool lately, and where requests were sent
 * before. Part of the replicated state.
 *
 * A caller may resume a stream after all routers have restarted, and none of them
 * knows what was in service before its start. Only if all servers that can have
 * begun the stream had one version does it fit to what they have sent.
 */
import {type ConfigurationContent} from '@lovagepond/core';
import {type DirectServerRecord} from './direct_server_table.js';

type Selector = ConfigurationContent['selectors'][number];

/** Versions that have gone are kept up to this time, milliseconds. */
const MAX_KEPT_MS = 3_600_000;

/** Versions that have gone, and changes of selectors, that are kept. */
const MAX_VERSIONS = 256;
const MAX_CHANGES = 1_024;

/** Servers of one pool with one version. */
interface ServedVersion {
  readonly pool: string;
  readonly version: string;
}

interface GoneVersion extends ServedVersion {
  /** Replicated time, milliseconds. */
  readonly goneAtMs: number;
}

/** Requests that a selector was added for, or went to other pools before. */
interface SelectorChange {
  readonly host: string;
  readonly pathPrefix: string;
  /** Replicated time, milliseconds. */
  readonly changedAtMs: number;
}

export interface StreamHistorySnapshot {
  readonly served: readonly ServedVersion[];
  readonly gone: readonly GoneVersion[];
  readonly changes: readonly SelectorChange[];
  readonly completeSinceMs: number;
}

/** The history as of some time. */
export interface StreamHistoryView {
  readonly versions: readonly (ServedVersion & {
    /** Time since its last server has gone, milliseconds; 0 in service. */
    readonly goneForMs: number;
  })[];
  readonly changes: readonly {
    readonly host: string;
    readonly pathPrefix: string;
    readonly ageMs: number;
  }[];
  /** Time for which nothing is missing, milliseconds. */
  readonly completeForMs: number;
}

export class StreamHistory {
  #served = new Map<string, ServedVersion>();
  /** In the order in which they have gone. */
  readonly #gone = new Map<string, GoneVersion>();
  /** In the order of the changes. */
  readonly #changes = new Map<string, SelectorChange>();
  /** Before the first entry of the log, no server was in service. */
  #completeSinceMs = Number.NEGATIVE_INFINITY;

  /**
   * Must be called after each change of the servers.
   *
   * @param records all servers
   * @param timeMs replicated time
   */
  noteServers(records: readonly DirectServerRecord[], timeMs: number): void {
    const served = new Map<string, ServedVersion>();
    for (const {server} of records) {
      const {pool, labels} = server;
      const version = labels['version'] ?? '';
      served.set(keyOf(pool, version), {pool, version});
    }
    for (const [key, one] of this.#served) {
      if (served.has(key)) continue;
      this.#gone.delete(key);
      this.#gone.set(key, {...one, goneAtMs: timeMs});
    }
    for (const key of served.keys()) this.#gone.delete(key);
    this.#served = served;
    this.#limit(this.#gone, MAX_VERSIONS, ({goneAtMs}) => goneAtMs, timeMs);
  }

  /**
   * Must be called at each change of the configuration.
   *
   * @param before the former selectors
   * @param after the present selectors
   * @param timeMs replicated time
   */
  noteSelectors(
    before: readonly Selector[],
    after: readonly Selector[],
    timeMs: number,
  ): void {
    const former = indexByMatch(before);
    const present = indexByMatch(after);
    // Nothing was forwarded before.
    if (former.size === 0) return;
    for (const key of new Set([...former.keys(), ...present.keys()])) {
      const [from, to] = [former.get(key), present.get(key)];
      const match = (to ?? from)?.match;
      if (!match || from === to || targetOf(from) === targetOf(to)) continue;
      this.#changes.delete(key);
      this.#changes.set(key, {...match, changedAtMs: timeMs});
    }
    const timeOf = ({changedAtMs}: SelectorChange): number => changedAtMs;
    this.#limit(this.#changes, MAX_CHANGES, timeOf, timeMs);
  }

  /**
   * @param timeMs replicated time
   * @returns what was in service up to then
   */
  describe(timeMs: number): StreamHistoryView {
    const served = [...this.#served.values()];
    const gone = [...this.#gone.values()];
    const changes = [...this.#changes.values()];
    return {
      versions: [
        ...served.map(one => ({...one, goneForMs: 0})),
        ...gone.map(({goneAtMs, pool, version}) => ({
          pool,
          version,
          // 0 would mean that it is in service.
          goneForMs: Math.max(1, timeMs - goneAtMs),
        })),
      ],
      changes: changes.map(({host, pathPrefix, changedAtMs}) => ({
        host,
        pathPrefix,
        ageMs: timeMs - changedAtMs,
      })),
      completeForMs: Math.min(MAX_KEPT_MS, timeMs - this.#completeSinceMs),
    };
  }

  /** @returns the serialized form */
  snapshot(): StreamHistorySnapshot {
    return {
      served: [...this.#served.values()],
      gone: [...this.#gone.values()],
      changes: [...this.#changes.values()],
      completeSinceMs: Math.max(-MAX_KEPT_MS, this.#completeSinceMs),
    };
  }

  /**
   * @param snapshot absent in snapshots of earlier releases
   * @param records all servers
   * @param timeMs replicated time of the snapshot
   */
  restore(
    snapshot: StreamHistorySnapshot | undefined,
    records: readonly DirectServerRecord[],
    timeMs: number,
  ): void {
    const {served = [], gone = [], changes = []} = snapshot ?? {};
    this.#completeSinceMs = snapshot?.completeSinceMs ?? timeMs;
    this.#gone.clear();
    for (const one of gone) this.#gone.set(keyOf(one.pool, one.version), one);
    this.#changes.clear();
    for (const one of changes) this.#changes.set(matchKey(one), one);
    this.#served = new Map(
      served.map(one => [keyOf(one.pool, one.version), one]),
    );
    this.noteServers(records, timeMs);
  }

  /** Drops the oldest entries, after which the history is less complete. */
  #limit<Entry>(
    entries: Map<string, Entry>,
    max: number,
    timeOf: (entry: Entry) => number,
    timeMs: number,
  ): void {
    for (const [key, entry] of entries) {
      const at = timeOf(entry);
      if (entries.size <= max && timeMs - at <= MAX_KEPT_MS) return;
      entries.delete(key);
      this.#completeSinceMs = Math.max(this.#completeSinceMs, at);
    }
  }
}

function keyOf(pool: string, version: string): string {
  return `${pool}\u0000${version}`;
}

function matchKey({
  host,
  pathPrefix,
}: Pick<SelectorChange, 'host' | 'pathPrefix'>): string {
  return `${host.toLowerCase()}\u0000${pathPrefix}`;
}

/** @returns the selectors of forwarded requests */
function indexByMatch(selectors: readonly Selector[]): Map<string, Selector> {
  const byMatch = new Map<string, Selector>();
  for (const selector of selectors) {
    if (selector.match) byMatch.set(matchKey(selector.match), selector);
  }
  return byMatch;
}

/** @returns a text that changes with the pools that requests may go to */
function targetOf(selector: Selector | undefined): string {
  const weighted = (selector?.poolWeights ?? []).filter(one => one.weight > 0);
  return JSON.stringify(weighted.map(({pool}) => pool).sort());
}
