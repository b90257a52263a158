import {Random} from '@lovagepond/core';
import {beforeEach, describe, expect, it} from 'vitest';
import {
  type ConsensusAction,
  ConsensusCore,
  type ConsensusMessage,
  type LogEntry,
  type MemberList,
  type StoredState,
} from '../../index.js';
import {encodeMembers} from '../../consensus_members.js';
import {type AppendRequest} from '../../consensus_messages.js';
import {SyncedIndex} from '../../consensus_outbox.js';
import {MODEL_TIMINGS} from '../model/consensus_model_faults.js';

const TIMINGS = {
  ...MODEL_TIMINGS,
  maxAppendBytes: 1000,
  snapshotEveryBytes: 1000,
};
const T = TIMINGS.electionTimeoutMs;
const MEMBERS: MemberList = ['a', 'b', 'c'].map(id => {
  return {id, address: `${id}:1`, voter: true};
});
const AFTER_TIMEOUT = T * 3;

function entry(index: number, term: number): LogEntry {
  return {index, term, kind: 'command', data: Buffer.from(`${index}`)};
}

const MEMBERS_ENTRY: LogEntry = {
  index: 1,
  term: 1,
  kind: 'members',
  data: encodeMembers(MEMBERS),
};

/** One core; the test plays the other members. */
class CoreRig {
  readonly core: ConsensusCore;
  readonly actions: ConsensusAction[] = [];
  now = 0;
  #lastWrite = 0;

  constructor(stored: Partial<StoredState>) {
    const defaults = {
      id: 'a',
      hardState: {term: 3, vote: ''},
      entries: [MEMBERS_ENTRY],
    };
    this.core = new ConsensusCore(
      {
        stored: {...defaults, ...stored},
        address: 'a:1',
        timings: TIMINGS,
        random: new Random(1),
      },
      this.now,
    );
  }

  receive(from: string, term: number, body: object): void {
    const envelope = {from, fromAddress: `${from}:1`, to: 'a', term};
    this.core.receive({...body, ...envelope} as ConsensusMessage, this.now);
    this.collect();
  }

  sync(): void {
    this.core.stored(this.#lastWrite, this.now);
    this.collect();
  }

  collect(): void {
    for (const action of this.core.takeActions()) {
      this.actions.push(action);
      if (action.kind === 'write') this.#lastWrite = action.id;
    }
  }

  sent(kind: ConsensusMessage['kind']): ConsensusMessage[] {
    return this.actions.flatMap(action =>
      action.kind === 'send' && action.message.kind === kind
        ? [action.message]
        : [],
    );
  }

  /** Makes this member win the election of term 4. */
  lead(): void {
    this.now = AFTER_TIMEOUT;
    this.core.tick(this.now);
    this.receive('b', 3, {kind: 'preVoteReply', granted: true, attempt: 1});
    this.sync();
    this.receive('b', 4, {kind: 'voteReply', granted: true});
    this.sync();
    this.core.tick(this.now);
    this.collect();
    expect(this.status.role).toBe('leader');
  }

  acknowledge(from: string, matchIndex: number, round = 1): void {
    const none = {refusedIndex: 0, hintIndex: 0};
    const reply = {kind: 'appendReply', success: true, ...none};
    this.receive(from, 4, {...reply, matchIndex, round});
  }

  propose(command: string): void {
    this.core.propose(Buffer.from(command));
    this.core.flush(this.now);
    this.collect();
  }

  heartbeat(): void {
    this.now += MODEL_TIMINGS.heartbeatIntervalMs;
    this.core.tick(this.now);
    this.collect();
  }

  sentTo(id: string): AppendRequest[] {
    return this.sent('append').filter(
      (message): message is AppendRequest =>
        message.kind === 'append' && message.to === id,
    );
  }

  get status(): ReturnType<ConsensusCore['status']> {
    return this.core.status(this.now);
  }
}

describe('ConsensusCore', () => {
  let rig: CoreRig;

  beforeEach(() => {
    rig = new CoreRig({});
  });

  // A majority stores an entry of an earlier term. Another member with a later
  // term in its log could still be elected and replace that entry.
  it('commits no entry of an earlier term by counting replicas', () => {
    rig = new CoreRig({entries: [MEMBERS_ENTRY, entry(2, 2)]});
    rig.lead();
    rig.acknowledge('b', 2);
    expect(rig.status.commitIndex).toBe(0);
    rig.acknowledge('b', 3);
    expect(rig.status.commitIndex).toBe(3);
  });

  // A follower is down while many changes are made. If each heartbeat carried
  // all missing entries, it would saturate the links between hosts for the
  // whole outage.
  it('does not resend entries to an unresponsive follower', () => {
    rig.lead();
    const sentToSilent = (): number =>
      rig.sentTo('c').flatMap(({entries}) => entries).length;
    let round = 1;
    const heartbeat = (): void => {
      rig.heartbeat();
      round += 1;
      rig.acknowledge('b', rig.status.lastIndex, round);
    };
    for (let at = 0; at < 3 * T; at += MODEL_TIMINGS.heartbeatIntervalMs) {
      heartbeat();
    }
    rig.propose('x');
    const before = sentToSilent();
    for (let at = 0; at < 3 * T; at += MODEL_TIMINGS.heartbeatIntervalMs) {
      heartbeat();
    }
    expect(sentToSilent()).toBe(before);
    rig.acknowledge('c', 2, round);
    heartbeat();
    expect(sentToSilent()).toBeGreaterThan(before);
  });

  // A configuration of 90 kB is in transit to a follower. Messages are separate
  // calls, so a short heartbeat arrives first. If it compared the logs at the
  // entry in transit, the follower would refuse it and the entry would be sent
  // twice.
  it('sends heartbeats that refer to no entries in transit', () => {
    rig.lead();
    rig.acknowledge('b', 2);
    rig.propose('x'.repeat(90_000));
    rig.propose('y');
    rig.heartbeat();
    const sent = rig.sentTo('b');
    expect(sent.flatMap(({entries}) => entries)).toMatchObject([{index: 3}]);
    expect(sent.at(-1)).toMatchObject({prevIndex: 2, entries: []});
    rig.acknowledge('b', 3, 2);
    rig.core.flush(rig.now);
    rig.collect();
    expect(rig.sentTo('b').at(-1)?.entries).toMatchObject([{index: 4}]);
  });

  // A follower returned with an empty disk and receives the missing entries
  // slowly. Resending them with each heartbeat would delay it further and
  // further; never resending them would leave it waiting for lost ones.
  it('resends entries only when a reply shows that they are lost', () => {
    rig.lead();
    rig.acknowledge('b', 2);
    rig.acknowledge('c', 1);
    rig.core.flush(rig.now);
    rig.collect();
    const carried = (): number =>
      rig.sentTo('c').filter(({entries}) => entries.length > 0).length;
    expect(carried()).toBe(1);
    const until = rig.now + 400;
    while (rig.now + MODEL_TIMINGS.heartbeatIntervalMs < until) {
      rig.heartbeat();
      rig.acknowledge('c', 1, 1);
    }
    expect(carried()).toBe(1);
    rig.heartbeat();
    rig.acknowledge('c', 1, 1);
    expect(carried()).toBe(2);
  });

  // A chunk is in transit. Replies to heartbeats that overtook it, and late
  // replies, name the offset before the chunk, although it is not lost.
  it('resends a snapshot chunk only when it is lost', () => {
    const data = Buffer.from('a state of two parts');
    const snapshot = {index: 1, term: 1, members: MEMBERS, data};
    rig = new CoreRig({snapshot, entries: [entry(2, 3)]});
    rig.lead();
    const refusal = {kind: 'appendReply', success: false, matchIndex: 0};
    rig.receive('c', 4, {...refusal, refusedIndex: 2, hintIndex: 0, round: 1});
    const offsets = (): number[] =>
      rig
        .sent('snapshotChunk')
        .flatMap(chunk =>
          chunk.kind === 'snapshotChunk' && chunk.data.length > 0
            ? [chunk.offset]
            : [],
        );
    const answer = (nextOffset: number): void => {
      const body = {kind: 'snapshotReply', snapshotIndex: 1, installed: false};
      rig.receive('c', 4, {...body, nextOffset, round: 1});
    };
    expect(offsets()).toEqual([0]);
    rig.heartbeat();
    answer(0);
    expect(offsets()).toEqual([0]);
    answer(12);
    answer(0);
    expect(offsets()).toEqual([0, 12]);
    rig.now += 400;
    answer(12);
    expect(offsets()).toEqual([0, 12, 12]);
  });

  // Long commands, such as configurations of many routes, would fill a small
  // disk long before the number of entries triggers a snapshot.
  it('requests a snapshot after the configured bytes of commands', () => {
    rig.lead();
    rig.acknowledge('b', 2);
    const snapshotIndexes = (): number[] =>
      rig.actions.flatMap(action =>
        action.kind === 'takeSnapshot' ? [action.index] : [],
      );
    const bytes = TIMINGS.snapshotEveryBytes;
    expect(snapshotIndexes()).toEqual([]);
    rig.propose('x'.repeat(bytes));
    rig.sync();
    rig.acknowledge('b', 3);
    expect(snapshotIndexes()).toEqual([3]);
    rig.core.snapshotTaken(3, Buffer.alloc(bytes));
    rig.core.flush(rig.now);
    rig.collect();
    rig.sync();
    rig.propose('x'.repeat(bytes));
    rig.sync();
    rig.acknowledge('b', 4);
    expect(snapshotIndexes()).toEqual([3]);
    rig.propose('x'.repeat(bytes));
    rig.sync();
    rig.acknowledge('b', 5);
    expect(snapshotIndexes()).toEqual([3, 5]);
  });

  it('counts its own entries towards a commit only once synced', () => {
    rig.lead();
    rig.acknowledge('b', 2);
    rig.propose('x');
    rig.acknowledge('b', 3);
    expect(rig.status.commitIndex).toBe(2);
    rig.sync();
    expect(rig.status.commitIndex).toBe(3);
  });

  // All members restart. The first one gets no reply to its pre-vote. A
  // majority is up a moment later and should not stay without a leader for
  // long.
  it('retries an unanswered pre-vote before a full timeout', () => {
    rig.now = AFTER_TIMEOUT;
    rig.core.tick(rig.now);
    rig.collect();
    const countPreVotes = (): number => rig.sent('preVote').length;
    expect(countPreVotes()).toBe(2);
    rig.now += T * 0.49;
    rig.core.tick(rig.now);
    rig.collect();
    expect(countPreVotes()).toBe(2);
    rig.now += T * 0.51;
    rig.core.tick(rig.now);
    rig.collect();
    expect(countPreVotes()).toBe(4);
  });

  // Vote requests of two candidates in the same term arrive, the second one
  // after a crash. The vote must have been synced before it was sent, or the
  // member would vote twice.
  it('sends a vote after its sync, and only one per term', () => {
    rig.now = AFTER_TIMEOUT;
    const log = {lastIndex: 9, lastTerm: 3};
    rig.receive('b', 4, {kind: 'vote', ...log});
    expect(rig.sent('voteReply')).toEqual([]);
    rig.sync();
    expect(rig.sent('voteReply')).toMatchObject([{to: 'b', granted: true}]);
    const written = rig.actions.findLast(action => action.kind === 'write')!;
    const {hardState} = written.write;
    rig = new CoreRig({hardState: hardState!});
    rig.now = AFTER_TIMEOUT;
    rig.receive('c', 4, {kind: 'vote', ...log});
    expect(rig.sent('voteReply')).toMatchObject([{to: 'c', granted: false}]);
  });

  // A partitioned member requests votes in a higher term while the leader
  // works. A reply would raise the term and depose the leader.
  it('grants no vote and adopts no term during leader contact', () => {
    rig.now = AFTER_TIMEOUT;
    const append = {kind: 'append', prevIndex: 1, prevTerm: 1, commitIndex: 0};
    rig.receive('b', 3, {...append, entries: [], round: 1});
    rig.now += T - 1;
    rig.receive('c', 9, {kind: 'vote', lastIndex: 9, lastTerm: 9});
    rig.sync();
    expect(rig.sent('voteReply')).toEqual([]);
    expect(rig.status.term).toBe(3);
    rig.now += 1;
    rig.receive('c', 9, {kind: 'vote', lastIndex: 9, lastTerm: 9});
    rig.sync();
    expect(rig.sent('voteReply')).toMatchObject([{to: 'c', granted: true}]);
  });

  it('acknowledges entries after their sync', () => {
    const append = {kind: 'append', prevIndex: 1, prevTerm: 1, commitIndex: 0};
    rig.receive('b', 3, {...append, entries: [entry(2, 3)], round: 7});
    expect(rig.sent('appendReply')).toEqual([]);
    rig.sync();
    expect(rig.sent('appendReply')).toMatchObject([{matchIndex: 2, round: 7}]);
  });

  it('answers a read after a round that started after the read', () => {
    rig.lead();
    rig.acknowledge('b', 2);
    rig.core.read(1);
    rig.core.flush(rig.now);
    rig.collect();
    rig.acknowledge('b', 2, 1);
    const ready = {kind: 'readReady', tokens: [1], index: 2};
    expect(rig.actions).not.toContainEqual(ready);
    rig.acknowledge('b', 2, 2);
    expect(rig.actions).toContainEqual(ready);
  });

  // The process of a new leader stalls for longer than an election timeout,
  // with replies of its followers unread. Stepping down would leave the group
  // without a leader again. The leader may ignore only one such stall: if it is
  // partitioned, it has to step down.
  it('keeps leading after one stall, but not without replies', () => {
    rig.lead();
    const tick = (): void => {
      rig.core.tick(rig.now);
      rig.collect();
    };
    rig.now += TIMINGS.electionTimeoutMs * 1.5;
    tick();
    expect(rig.status).toMatchObject({role: 'leader', leaseValid: false});
    rig.acknowledge('b', 2);
    expect(rig.status).toMatchObject({role: 'leader'});
    const step = TIMINGS.electionTimeoutMs / 10;
    for (let passed = 0; passed <= 12; passed += 1) {
      rig.now += step;
      tick();
    }
    expect(rig.status.role).toBe('follower');
  });

  it('steps down after a second stall without a reply in between', () => {
    rig.lead();
    for (let stall = 0; stall < 2; stall += 1) {
      rig.now += TIMINGS.electionTimeoutMs * 1.5;
      rig.core.tick(rig.now);
      rig.collect();
    }
    expect(rig.status.role).toBe('follower');
  });

  it('changes one member at a time, after a commit in its term', () => {
    const add = {kind: 'addLearner', id: 'd', address: 'd:1'} as const;
    rig.lead();
    const early = rig.core.changeMembers(add, rig.now);
    expect(early).toMatchObject({reason: 'termNotCommitted'});
    rig.acknowledge('b', 2);
    expect(rig.core.changeMembers(add, rig.now)).toMatchObject({index: 3});
    const second = rig.core.changeMembers({kind: 'remove', id: 'c'}, rig.now);
    expect(second).toMatchObject({reason: 'changePending'});
    rig.core.flush(rig.now);
    rig.collect();
    rig.sync();
    rig.acknowledge('b', 3);
    const promote = {kind: 'promote', id: 'd'} as const;
    const behind = rig.core.changeMembers(promote, rig.now);
    expect(behind).toMatchObject({reason: 'notCaughtUp'});
    rig.acknowledge('d', 3);
    expect(rig.core.changeMembers(promote, rig.now)).toMatchObject({index: 4});
  });

  // A write of entries is in progress when other entries replace them in the
  // log. Its sync says nothing about the replacements.
  it('does not count replaced entries as synced', () => {
    const synced = new SyncedIndex(1);
    synced.wrote(1, 5);
    synced.truncated(3);
    synced.wrote(2, 4);
    synced.stored(1);
    expect(synced.index).toBe(2);
    synced.stored(2);
    expect(synced.index).toBe(4);
  });
});
