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

// A service takes eight times as long as its peers for some seconds. It fails
// no request, but every response from it is late.
test('a late response of a server with free slots counts as a failure', () => {
  expect(simulate(300, 0)).toBeGreaterThan(0.3);
  expect(simulate(100, 0)).toBe(0);
});

// Under a burst of requests all servers respond late, as requests wait for
// slots. No server is slow; if lateness counted, random differences would send
// all of the load to a few of them.
test('a late response of a server without free slots is not a failure', () => {
  expect(simulate(300, 1_000)).toBe(0);
});
