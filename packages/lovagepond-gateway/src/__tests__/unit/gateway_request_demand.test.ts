import {describe, expect, it} from 'vitest';
import {loadedServerOf} from '../../gateway_loaded_server.js';
import {type OverloadRequest} from '../../gateway_overload_types.js';
import {RequestDemand} from '../../gateway_request_demand.js';
import {ForwardingRules} from '../../gateway_routes.js';
import {ServerState} from '../../gateway_server_state.js';
import {makeBackendServer} from './backend_servers.js';
import {CONTENT} from './gateway_harness.js';

const RATE = 10;

const PARTS = [
  {id: 'shared', tokens: 3_000},
  {id: 'own', tokens: 1_000},
];

const rule = new ForwardingRules({revision: 1, content: CONTENT}).find(
  'shop.example',
  '/chat/a',
)!;

function makeState(name: string): ServerState {
  return new ServerState(makeBackendServer(name), {
    prefillTokensPerMs: RATE,
    serverCapacity: true,
  });
}

function demandOf(
  more: object,
  holders: readonly ServerState[] = [],
  parts = PARTS,
): RequestDemand {
  const forwarding = {...rule.forwarding, sticky: true};
  const pool = {...CONTENT.pools[0]!, ...more};
  const facts = {parts, requestId: 'r', deadlineMs: undefined, apiKey: ''};
  return new RequestDemand(
    {
      rule: {...rule, forwarding},
      pool,
      facts: {...facts, promptTokens: 0, outputTokens: 0},
    },
    () => holders,
  );
}

describe('the demand of a prompt', () => {
  it('is what the server does not hold', () => {
    const state = makeState('x');
    expect(demandOf({}).at(state, 0).work.prefillTokens).toBe(4_000);
    state.noteWarm(['shared'], 0);
    expect(demandOf({}).at(state, 1).work.prefillTokens).toBe(1_000);
  });

  // Guards against engines that count as busy with prompts which they fetch.
  it('is less by the context that the server fetches', () => {
    const [state, holder] = [makeState('x'), makeState('y')];
    holder.noteWarm(['shared'], 0);
    const demand = demandOf({contextFetchTokensPerMs: 100}, [holder]);
    expect(demand.at(state, 1)).toMatchObject({
      work: {prefillTokens: 1_000},
      fetchMs: 30,
    });
    const loaded = loadedServerOf(state);
    const req = {demand} as OverloadRequest;
    expect(loaded.workMs(req, 1)).toBeCloseTo(1_000 / RATE);
    const {firstResponseMs} = loaded.predict(req, 1);
    expect(firstResponseMs).toBeCloseTo(1_000 / RATE + 30);
  });

  // Guards against one caller's wrong estimate that refuses its request, or
  // makes a server look busy for hours.
  it('is none if the estimate can not be true', () => {
    const state = makeState('x');
    const parts = [{id: 'own', tokens: 1e9}];
    expect(demandOf({}, [], parts).at(state, 0).work.prefillTokens).toBe(0);
    const small = demandOf({contextTokens: 500}, [], PARTS);
    expect(small.at(state, 0).work.prefillTokens).toBe(0);
  });

  it('follows what servers hold from one time to the next', () => {
    const state = makeState('x');
    const demand = demandOf({});
    expect(demand.at(state, 0).work.prefillTokens).toBe(4_000);
    state.noteWarm(['shared', 'own'], 0);
    expect(demand.at(state, 1).work.prefillTokens).toBe(0);
  });
});

describe('a loaded server', () => {
  it('predicts the wait for the prompts that are pending there', () => {
    const state = makeState('x');
    state.pendingPrefill.add(2_000, 0, 2_000 / RATE);
    const req = {demand: demandOf({})} as OverloadRequest;
    const loaded = loadedServerOf(state);
    expect(loaded.predict(req, 0).startMs).toBeCloseTo(2_000 / RATE);
    expect(loaded.predictIdle(req, 0).startMs).toBe(0);
    expect(loadedServerOf(state)).toBe(loaded);
  });

  // The window of a service with an empty queue must not shrink for a response
  // that was slow for another reason; an engine's prompts wait in its slots.
  it('reports the queue of a service, but not that of an engine', () => {
    const state = makeState('x');
    const loaded = loadedServerOf(state);
    expect(loaded.reportedWaiting).toBeUndefined();
    state.noteLoad({running: 4, waiting: 3, slots: 4}, 0);
    expect(loaded.reportedWaiting).toBe(3);
    state.servesPrompts = true;
    expect(loaded.reportedWaiting).toBeUndefined();
  });
});
