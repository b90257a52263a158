/**
 * In-memory log of a member, with the member lists that it contains.
 */
import {invariant} from '@lovagepond/core';
import {decodeMembers} from './consensus_members.js';
import {ENTRY_KIND, type LogEntry, type MemberList} from './consensus_types.js';

interface ListAtIndex {
  readonly index: number;
  readonly members: MemberList;
}

/** Base of a log: the last entry before its first one. */
export interface LogBase {
  readonly index: number;
  readonly term: number;
  readonly members: MemberList;
}

/**
 * @param entries entries of a log
 * @returns total size of their data in bytes
 */
export function sumBytes(entries: readonly LogEntry[]): number {
  return entries.reduce((sum, {data}) => sum + data.length, 0);
}

/** Consecutive entries that follow a base, which a snapshot covers. */
export class ReplicatedLog {
  #baseIndex: number;
  #baseTerm: number;
  #entries: LogEntry[] = [];
  #lists: ListAtIndex[];

  constructor(base: LogBase, entries: readonly LogEntry[]) {
    this.#baseIndex = base.index;
    this.#baseTerm = base.term;
    this.#lists = [{index: base.index, members: base.members}];
    this.append(entries);
  }

  /** Index of the last entry; that of the base if there are no entries. */
  get lastIndex(): number {
    return this.#baseIndex + this.#entries.length;
  }

  /** Term of the last entry; that of the base if there are no entries. */
  get lastTerm(): number {
    return this.#entries.at(-1)?.term ?? this.#baseTerm;
  }

  /** The current member list: the latest one in the log, committed or not. */
  get members(): MemberList {
    return this.#lists.at(-1)?.members ?? [];
  }

  /** The member list before the current one; empty if not in the log. */
  get previousMembers(): MemberList {
    return this.#lists.at(-2)?.members ?? [];
  }

  /** Index of the entry that contains the current member list. */
  get membersIndex(): number {
    return this.#lists.at(-1)?.index ?? 0;
  }

  /**
   * @param index any index
   * @returns the term of the entry; undefined if it is not in the log
   */
  termAt(index: number): number | undefined {
    if (index === this.#baseIndex) return this.#baseTerm;
    return this.#entries[index - this.#baseIndex - 1]?.term;
  }

  /**
   * @param index any index from the base on
   * @returns the member list in effect at that index
   */
  membersAt(index: number): MemberList {
    return this.#lists.findLast(list => list.index <= index)?.members ?? [];
  }

  /**
   * @param from first index
   * @param to last index, included
   * @returns the entries in that range
   */
  slice(from: number, to: number): readonly LogEntry[] {
    invariant(
      from > this.#baseIndex,
      101,
      'entries up to the base are compacted',
    );
    const start = from - this.#baseIndex - 1;
    return this.#entries.slice(start, to - this.#baseIndex);
  }

  /**
   * @param from first index
   * @param maxBytes maximum total size of the data; at least one entry is
   *     returned
   * @returns the entries from that index on
   */
  sliceBytes(from: number, maxBytes: number): readonly LogEntry[] {
    let bytes = 0;
    let to = from - 1;
    while (to < this.lastIndex) {
      bytes += this.#entries[to - this.#baseIndex]?.data.length ?? 0;
      if (bytes > maxBytes && to >= from) break;
      to += 1;
    }
    return this.slice(from, to);
  }

  /** @param entries entries that directly follow the last one */
  append(entries: readonly LogEntry[]): void {
    for (const entry of entries) {
      invariant(
        entry.index === this.lastIndex + 1,
        102,
        'appended entries leave a gap',
      );
      this.#entries.push(entry);
      if (entry.kind === ENTRY_KIND.MEMBERS) {
        const members = decodeMembers(entry.data);
        this.#lists.push({index: entry.index, members});
      }
    }
  }

  /** @param from entries from this index on are dropped */
  truncate(from: number): void {
    invariant(from > this.#baseIndex, 103, 'truncation at or before the base');
    this.#entries.length = Math.min(
      this.#entries.length,
      from - this.#baseIndex - 1,
    );
    this.#lists = this.#lists.filter(list => list.index < from);
  }

  /**
   * @param index any index in the log
   * @param maxEntries maximum number of entries
   * @param maxBytes maximum total size of their data
   * @returns the lowest index for which the entries after it, up to `index`,
   *     stay within both limits
   */
  indexBefore(index: number, maxEntries: number, maxBytes: number): number {
    const first = Math.max(this.#baseIndex, index - maxEntries);
    let bytes = 0;
    let before = index;
    while (before > first) {
      bytes += this.#entries[before - this.#baseIndex - 1]?.data.length ?? 0;
      if (bytes > maxBytes) break;
      before -= 1;
    }
    return before;
  }

  /** @param index entries up to this index, which is in the log, are dropped */
  compact(index: number): void {
    if (index <= this.#baseIndex) return;
    const term = this.termAt(index);
    invariant(term !== undefined, 104, 'compaction beyond the last entry');
    const members = this.membersAt(index);
    this.#entries = this.#entries.slice(index - this.#baseIndex);
    this.#baseIndex = index;
    this.#baseTerm = term;
    const later = this.#lists.filter(list => list.index > index);
    this.#lists = [{index, members}, ...later];
  }

  /** @param base last entry covered by a snapshot that replaces the log */
  reset(base: LogBase): void {
    this.#baseIndex = base.index;
    this.#baseTerm = base.term;
    this.#entries = [];
    this.#lists = [{index: base.index, members: base.members}];
  }
}
