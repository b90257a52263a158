import {describe, expect, it} from 'vitest';
import {type DirectServerRecord} from '../../direct_server_table.js';
import {chooseWarmUpRouters, decideWarmUp} from '../../warm_up_decision.js';

const LIMITS = {durationMs: 3_000, maxRequestsPerSecond: 21};
const JOINED_MS = 10_000;

const RECORD = {
  server: {name: 's', warmUpRouters: ['own']},
  leaving: false,
  place: '',
  joinedAtMs: JOINED_MS,
} as unknown as DirectServerRecord;

const FACTS = {
  limits: LIMITS,
  zoneReturn: undefined,
  reportedUntil: undefined,
  timeMs: JOINED_MS,
};

const RETURN = {zone: 'z', atMs: 20_000, warmUpRouters: ['back']};

describe('a server', () => {
  it('of a pool without limits is always warm', () => {
    const facts = {...FACTS, limits: undefined};
    expect(decideWarmUp(RECORD, facts, 0)).toBeUndefined();
  });

  it('that reported nothing warms up for the whole duration', () => {
    expect(decideWarmUp(RECORD, FACTS, 0)).toEqual({routers: ['own']});
    const later = {...FACTS, timeMs: JOINED_MS + LIMITS.durationMs};
    expect(decideWarmUp(RECORD, later, 0)).toBeUndefined();
  });

  it('is warm when its report says so, and cold when it says that', () => {
    const facts = {...FACTS, timeMs: JOINED_MS + 60_000, reportedUntil: 500};
    expect(decideWarmUp(RECORD, facts, 499)).toEqual({routers: ['own']});
    expect(decideWarmUp(RECORD, facts, 500)).toBeUndefined();
  });

  // Guards against a report from before the return that arrives after it.
  it('of a zone that has just returned is cold whatever it reported', () => {
    const facts = {...FACTS, zoneReturn: RETURN, reportedUntil: 0};
    const soon = {...facts, timeMs: RETURN.atMs + 2_999};
    expect(decideWarmUp(RECORD, soon, 5)).toEqual({routers: ['own']});
    const later = {...facts, timeMs: RETURN.atMs + 3_000};
    expect(decideWarmUp(RECORD, later, 5)).toBeUndefined();
  });

  // Guards against two sets of routers that each use the whole limit, as one of
  // them still holds the list from before the return.
  it('keeps its routers when its zone returns', () => {
    for (const atMs of [5_000, JOINED_MS, JOINED_MS + 1_000]) {
      const zoneReturn = {...RETURN, atMs};
      const facts = {...FACTS, zoneReturn, timeMs: JOINED_MS + 1_500};
      expect(decideWarmUp(RECORD, facts, 0)).toEqual({routers: ['own']});
    }
  });

  it('without routers has some of those of its returned zone', () => {
    const zoneReturn = {
      ...RETURN,
      warmUpRouters: ['r1', 'r2', 'r3', 'r4', 'r5'],
    };
    const timeMs = RETURN.atMs + 1;
    const server = {...RECORD.server, warmUpRouters: []};
    const facts = {...FACTS, zoneReturn, timeMs};
    const decide = (name: string): readonly string[] | undefined =>
      decideWarmUp({...RECORD, server: {...server, name}}, facts, 0)?.routers;
    expect(decide('s')).toHaveLength(3);
    expect(decide('s')).toEqual(decide('s'));
    expect(decide('s')).not.toEqual(decide('t'));
  });
});

describe('the routers for a server that warms up', () => {
  const known = Array.from({length: 40}, (_, at) => `router-${at}`);

  it('are fewer than the requests that it may get in a second', () => {
    for (const maxRequestsPerSecond of [1, 2, 3, 10, 500]) {
      const limits = {...LIMITS, maxRequestsPerSecond};
      const {length} = chooseWarmUpRouters(known, 's', limits);
      expect(length).toBe(Math.min(3, maxRequestsPerSecond));
    }
  });

  it('differ between servers, whatever the order of the known ones', () => {
    const one = chooseWarmUpRouters(known, 's', LIMITS);
    const same = chooseWarmUpRouters([...known].reverse(), 's', LIMITS);
    expect(same).toEqual(one);
    expect(chooseWarmUpRouters(known, 't', LIMITS)).not.toEqual(one);
  });
});
