import {expect, test} from 'vitest';
import {ResponseTiming} from '../../gateway_response_timing.js';
import {ServerState} from '../../gateway_server_state.js';
import {makeBackendServer} from './backend_servers.js';

const TARGET_MS = 200;
const RESPONSES = 8;

function simulate(durationMs: number, runningElsewhere: number): number {
  const state = new ServerState(makeBackendServer('s'));
  let now = 0;
  for (let at = 0; at < RESPONSES; at += 1) {
    state.noteRemoteRequests('other', runningElsewhere, now);
    const timing = new ResponseTiming(state, TARGET_MS, now);
    now += durationMs;
    timing.noteResponse(now);
  }
  return state.failureRisk(now);
}

// A service works eight times as long as the others for some seconds. It fails
// nothing, and each caller that is sent there gets a late answer.
test('a server that is late with free slots counts as one that fails', () => {
  expect(simulate(300, 0)).toBeGreaterThan(0.3);
  expect(simulate(100, 0)).toBe(0);
});

// Many callers come at once, and all servers are late as requests wait for slots.
// None of them is slow; told apart by chance, some would get all of the work.
test('a late answer of a full server says nothing of it', () => {
  expect(simulate(300, 1_000)).toBe(0);
});
