/**
 * The log as a member holds it in memory, with the member lists in it.
 */
import {invariant} from '@lovagepond/core';
import {decodeMembers} from './consensus_members.js';
import {ENTRY_KIND, type LogEntry, type MemberList} from './consensus_types.js';

interface ListAtIndex {
  readonly index: number;
  readonly members: MemberList;
}

/** Where a log starts: the last entry that is no longer in it. */
export interface LogBase {
  readonly index: number;
  readonly term: number;
  readonly members: MemberList;
}

/**
 * @param entries entries of a log
 * @returns sum of their data, bytes
 */
export function sumBytes(entries: readonly LogEntry[]): number {
  return entries.reduce((sum, {data}) => sum + data.length, 0);
}

/** Consecutive entries after a base, which a snapshot covers. */
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

  /** Index of the last entry, or of the base when there is none. */
  get lastIndex(): number {
    return this.#baseIndex + this.#entries.length;
  }

  /** Term of the last entry, or of the base when there is none. */
  get lastTerm(): number {
    return this.#entries.at(-1)?.term ?? this.#baseTerm;
  }

  /** The member list in force: the latest in the log, committed or not. */
  get members(): MemberList {
    return this.#lists.at(-1)?.members ?? [];
  }

  /** The member list before the one in force; empty when not in the log. */
  get previousMembers(): MemberList {
    return this.#lists.at(-2)?.members ?? [];
  }

  /** Index of the entry that brought the member list in force. */
  get membersIndex(): number {
    return this.#lists.at(-1)?.index ?? 0;
  }

  /**
   * @param index any index
   * @returns the entry's term; undefined when the log doesn't hold it
   */
  termAt(index: number): number | undefined {
    if (index === this.#baseIndex) return this.#baseTerm;
    return this.#entries[index - this.#baseIndex - 1]?.term;
  }

  /**
   * @param index any index from the base on
   * @returns the member list in force there
   */
  membersAt(index: number): MemberList {
    return this.#lists.findLast(list => list.index <= index)?.members ?? [];
  }

  /**
   * @param from first index
   * @param to last index
   * @returns the entries between, both included
   */
  slice(from: number, to: number): readonly LogEntry[] {
    invariant(from > this.#baseIndex, 101, 'entries before the base are gone');
    const start = from - this.#baseIndex - 1;
    return this.#entries.slice(start, to - this.#baseIndex);
  }

  /**
   * @param from first index
   * @param maxBytes limit of the sum of data; one entry is always returned
   * @returns the entries from there on
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

  /** @param entries entries that follow the last one */
  append(entries: readonly LogEntry[]): void {
    for (const entry of entries) {
      invariant(entry.index === this.lastIndex + 1, 102, 'a gap in the log');
      this.#entries.push(entry);
      if (entry.kind === ENTRY_KIND.MEMBERS) {
        const members = decodeMembers(entry.data);
        this.#lists.push({index: entry.index, members});
      }
    }
  }

  /** @param from entries from this index on are dropped */
  truncate(from: number): void {
    invariant(from > this.#baseIndex, 103, 'truncation behind the base');
    this.#entries.length = Math.min(
      this.#entries.length,
      from - this.#baseIndex - 1,
    );
    this.#lists = this.#lists.filter(list => list.index < from);
  }

  /**
   * @param index any index that the log holds
   * @param maxEntries limit of their number
   * @param maxBytes limit of the sum of their data
   * @returns the index after which the entries up to `index` stay within both
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

  /** @param index entries up to here are dropped; the log holds it */
  compact(index: number): void {
    if (index <= this.#baseIndex) return;
    const term = this.termAt(index);
    invariant(term !== undefined, 104, 'compaction past the end of the log');
    const members = this.membersAt(index);
    this.#entries = this.#entries.slice(index - this.#baseIndex);
    this.#baseIndex = index;
    this.#baseTerm = term;
    const later = this.#lists.filter(list => list.index > index);
    this.#lists = [{index, members}, ...later];
  }

  /** @param base the last entry of a snapshot that replaces the whole log */
  reset(base: LogBase): void {
    this.#baseIndex = base.index;
    this.#baseTerm = base.term;
    this.#entries = [];
    this.#lists = [{index: base.index, members: base.members}];
  }
}
