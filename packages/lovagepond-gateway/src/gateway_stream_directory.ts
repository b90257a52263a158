/**
 * Finds out where streams began that other gateways have forwarded.
 *
 * When a stream begins, its gateway sends a record to a few others, which are
 * chosen by the key. A caller may resume the stream at any gateway, and the
 * first one may have stopped by then, so the record must not depend on it, nor
 * on control. Without a record, the stream is not resumed.
 */
import {type HashKey, type KeyHasher} from '@lovagepond/router/rendezvous_hash';
import {type lovagepond} from '@lovagepond/protocol';
import {type StreamOrigin} from './gateway_stream_origin.js';
import {type PeerAddresses} from './gateway_peer_addresses.js';
import {
  encodeDatagram,
  type WirePeerDatagram,
} from './gateway_peer_datagrams.js';
import {type PeerDatagramHandler} from './gateway_peer_link.js';
import {StreamRecords, textOfKey} from './gateway_stream_records.js';

type WireKey = lovagepond.v1.HashKey.$Properties;
type WireOrigin = lovagepond.v1.StreamOrigin.$Properties;

/** Other gateways that get a record of each stream. */
const RECORD_COPIES = 3;

/**
 * Gateways that are asked for a record: more than have it, as gateways may have
 * joined or left since it was sent.
 */
const ASKED_PEERS = 6;

/** Times at which gateways are asked again, ms after the first query. */
const QUERY_TIMES_MS = [40, 120] as const;

/** Time after which a lookup ends without an answer, milliseconds. */
const LOOKUP_LIMIT_MS = 200;

/**
 * Time after which gateways that know nothing are asked again, milliseconds: a
 * caller may return while the record is still under way.
 */
const LATE_RECORD_MS = 20;

/** Lookups at a time; further ones fail at once. */
const MAX_LOOKUPS = 1_024;

/** Limits of the time for which a record is kept, seconds. */
const KEEP_S = {MIN: 60, MAX: 3_600} as const;

/**
 * Callers may try a stream several times, each within its kind's timeout, so a
 * record outlasts this many timeouts.
 */
const KEPT_TIMEOUTS = 3;

/** Counts since the start. */
export interface StreamDirectoryCounts {
  /** Lookups answered from this gateway's own records. */
  readonly ownRecords: number;
  /** Lookups answered by another gateway. */
  readonly peerRecords: number;
  /** Lookups without an answer. */
  readonly unknown: number;
}

/** The effects of the directory. */
export interface StreamDirectoryDependencies {
  readonly hasher: KeyHasher;
  readonly peers: PeerAddresses;
  /** Sends a datagram, which may be lost. */
  readonly send: (address: string, bytes: Uint8Array) => void;
}

type Found = (origin: StreamOrigin | undefined) => void;

interface Lookup {
  readonly key: HashKey;
  readonly startedAt: number;
  readonly listeners: Found[];
  /** Gateways that were asked, and whether they know nothing. */
  readonly asked: Map<string, boolean>;
  queries: number;
  nextQueryAt: number;
  /** All gateways were asked again after they knew nothing. */
  isRepeated: boolean;
}

export class StreamDirectory implements PeerDatagramHandler {
  readonly #deps: StreamDirectoryDependencies;
  readonly #records = new StreamRecords();
  readonly #lookups = new Map<string, Lookup>();
  #counts = {ownRecords: 0, peerRecords: 0, unknown: 0};

  constructor(deps: StreamDirectoryDependencies) {
    this.#deps = deps;
  }

  /** Number of records kept. */
  get size(): number {
    return this.#records.size;
  }

  /** Number of lookups that wait for an answer. */
  get pending(): number {
    return this.#lookups.size;
  }

  get counts(): StreamDirectoryCounts {
    return this.#counts;
  }

  /**
   * @param workspace the caller's workspace; empty on public routes
   * @param requestId id of the request that brought a stream's first event
   * @returns the stream's key
   */
  keyOf(workspace: string, requestId: string): HashKey {
    return this.#deps.hasher.hash(`${workspace}\u0000${requestId}`);
  }

  /**
   * Records a stream here and at other gateways. Called before its first event
   * is passed on, and again when it is resumed, as gateways may have restarted
   * since.
   *
   * @param key the stream's key
   * @param origin the servers that can continue it
   * @param timeoutMs longest duration of one request for it
   * @param now current time, monotonic milliseconds
   */
  record(
    key: HashKey,
    origin: StreamOrigin,
    timeoutMs: number,
    now: number,
  ): void {
    const keepS = keepSecondsOf(timeoutMs);
    this.#records.add(key, origin, now + keepS * 1_000);
    const bytes = encodeDatagram({record: {key, origin, keepS}});
    const {peers, send} = this.#deps;
    for (const address of peers.rank(key, RECORD_COPIES)) send(address, bytes);
  }

  /**
   * @param key a stream's key
   * @param now current time, monotonic milliseconds
   * @param onFound called once, during the call or later, with the servers that
   *     can continue the stream; undefined if no gateway knows them
   */
  find(key: HashKey, now: number, onFound: Found): void {
    const own = this.#records.find(key, now);
    if (own) {
      this.#counts.ownRecords += 1;
      onFound(own);
      return;
    }
    const known = this.#lookups.get(textOfKey(key));
    if (known) {
      known.listeners.push(onFound);
      return;
    }
    const asked = this.#deps.peers.rank(key, ASKED_PEERS);
    if (asked.length === 0 || this.#lookups.size >= MAX_LOOKUPS) {
      this.#counts.unknown += 1;
      onFound(undefined);
      return;
    }
    const lookup: Lookup = {
      key,
      startedAt: now,
      listeners: [onFound],
      asked: new Map(asked.map(address => [address, false])),
      queries: 0,
      nextQueryAt: now,
      isRepeated: false,
    };
    this.#lookups.set(textOfKey(key), lookup);
    this.#query(lookup);
  }

  /**
   * Asks again and ends lookups. Must be called every few milliseconds while
   * lookups are pending.
   *
   * @param now current time, monotonic milliseconds
   * @returns true while lookups are pending
   */
  tick(now: number): boolean {
    for (const lookup of this.#lookups.values()) {
      if (now - lookup.startedAt >= LOOKUP_LIMIT_MS) {
        this.#end(lookup, undefined);
      } else if (now >= lookup.nextQueryAt) {
        this.#query(lookup);
      }
    }
    return this.pending > 0;
  }

  /**
   * Drops old records. Must be called periodically.
   *
   * @param now current time, monotonic milliseconds
   */
  expire(now: number): void {
    this.#records.expire(now);
  }

  /**
   * @param datagram the datagram of another gateway
   * @param from address of its sender
   * @param now current time, monotonic milliseconds
   */
  receive(
    {record, query, answer}: WirePeerDatagram,
    from: string,
    now: number,
  ): void {
    if (record) this.#onRecord(record, now);
    if (query) this.#onQuery(query, from, now);
    if (answer) this.#onAnswer(answer, from, now);
  }

  #onRecord(
    {key, origin, keepS}: lovagepond.v1.StreamRecord.$Properties,
    now: number,
  ): void {
    if (!key || !origin) return;
    const until = now + clampKeepS(keepS ?? 0) * 1_000;
    this.#records.add(readKey(key), readOrigin(origin), until);
  }

  #onQuery(
    {key}: lovagepond.v1.StreamQuery.$Properties,
    from: string,
    now: number,
  ): void {
    if (!key) return;
    const origin = this.#records.find(readKey(key), now);
    const answer = {key, ...(origin && {origin})};
    this.#deps.send(from, encodeDatagram({answer}));
  }

  #onAnswer(
    {key, origin}: lovagepond.v1.StreamAnswer.$Properties,
    from: string,
    now: number,
  ): void {
    const lookup = key && this.#lookups.get(textOfKey(readKey(key)));
    if (!lookup?.asked.has(from)) return;
    if (origin) {
      this.#end(lookup, readOrigin(origin));
      return;
    }
    lookup.asked.set(from, true);
    if (![...lookup.asked.values()].every(knowsNothing => knowsNothing)) return;
    if (lookup.isRepeated) {
      this.#end(lookup, undefined);
      return;
    }
    lookup.isRepeated = true;
    lookup.nextQueryAt = Math.min(lookup.nextQueryAt, now + LATE_RECORD_MS);
  }

  #query(lookup: Lookup): void {
    const {key, asked, startedAt, queries} = lookup;
    lookup.queries += 1;
    lookup.nextQueryAt =
      startedAt + (QUERY_TIMES_MS[queries] ?? Number.POSITIVE_INFINITY);
    const bytes = encodeDatagram({query: {key}});
    for (const address of asked.keys()) {
      asked.set(address, false);
      this.#deps.send(address, bytes);
    }
  }

  #end(lookup: Lookup, origin: StreamOrigin | undefined): void {
    this.#lookups.delete(textOfKey(lookup.key));
    if (origin) this.#counts.peerRecords += 1;
    else this.#counts.unknown += 1;
    for (const listener of lookup.listeners) listener(origin);
  }
}

/**
 * @param timeoutMs longest duration of one request for a stream
 * @returns time after which the stream isn't resumed any more, seconds
 */
export function keepSecondsOf(timeoutMs: number): number {
  return clampKeepS((KEPT_TIMEOUTS * timeoutMs) / 1_000);
}

function clampKeepS(seconds: number): number {
  return Math.min(KEEP_S.MAX, Math.max(KEEP_S.MIN, Math.ceil(seconds)));
}

function readKey({low, high}: WireKey): HashKey {
  return {low: low ?? 0, high: high ?? 0};
}

function readOrigin({pool, version}: WireOrigin): StreamOrigin {
  return {pool: pool ?? '', version: version ?? ''};
}
