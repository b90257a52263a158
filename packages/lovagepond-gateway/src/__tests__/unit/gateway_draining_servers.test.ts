import {SERVER_STATE, type ServerState} from '@lovagepond/core';
import {describe, expect, it} from 'vitest';
import {GatewayFleet} from '../../gateway_fleet.js';
import {DEFAULT_GATEWAY_SETTINGS} from '../../gateway_settings.js';
import {makeBackendServer} from './backend_servers.js';

const DRAIN_TIMEOUT_MS = 2_000;

const {READY, DRAINING} = SERVER_STATE;

/** @returns a fleet that has got lists with the server in these states */
function listed(...states: readonly ServerState[]): GatewayFleet {
  const settings = {...DEFAULT_GATEWAY_SETTINGS, drainTimeoutMs: 2_000};
  const fleet = new GatewayFleet(settings);
  for (const [at, state] of states.entries()) {
    const server = makeBackendServer('s', {state});
    const servers = new Map([['s', server]]);
    fleet.useMembership({version: at + 1, servers});
  }
  return fleet;
}

// Guards against requests that reach a server after it has exited.
describe('a server that control lists as draining', () => {
  it('continues streams for half of its drain time, and gets no others', () => {
    const fleet = listed(READY, DRAINING);
    fleet.expire(100);
    expect(fleet.ready('p', 100)).toEqual([]);
    const [state] = fleet.draining('p', 100);
    expect(state?.server.name).toBe('s');
    fleet.expire(600);
    const end = 100 + DRAIN_TIMEOUT_MS / 2;
    expect(fleet.draining('p', end - 1)).toHaveLength(1);
    expect(fleet.draining('p', end)).toEqual([]);
  });

  // Guards against a gateway that has just started: the server may have begun
  // to drain long before.
  it('continues none if the gateway has never seen it ready', () => {
    const fleet = listed(DRAINING);
    expect(fleet.draining('p', 0)).toEqual([]);
    fleet.expire(100);
    expect(fleet.draining('p', 100)).toEqual([]);
  });

  it('continues none once it says that it is about to exit', () => {
    const fleet = listed(READY, DRAINING);
    const [state] = fleet.draining('p', 0);
    if (!state) throw new Error('the server is not listed');
    fleet.noteSignals(state, {isLeaving: true, pauseMs: 0}, 0);
    expect(fleet.draining('p', 0)).toEqual([]);
  });

  it('continues none during a pause that it asked for', () => {
    const fleet = listed(READY, DRAINING);
    const [state] = fleet.draining('p', 0);
    if (!state) throw new Error('the server is not listed');
    fleet.noteSignals(state, {isLeaving: false, pauseMs: 500}, 0);
    expect(fleet.draining('p', 499)).toEqual([]);
    expect(fleet.draining('p', 500)).toHaveLength(1);
  });

  it('is drained anew after it was ready', () => {
    const fleet = listed(READY, DRAINING);
    fleet.expire(0);
    const ready = makeBackendServer('s');
    fleet.useMembership({version: 2, servers: new Map([['s', ready]])});
    fleet.expire(5_000);
    const draining = {...ready, state: SERVER_STATE.DRAINING};
    fleet.useMembership({version: 3, servers: new Map([['s', draining]])});
    fleet.expire(5_100);
    expect(fleet.draining('p', 5_200)).toHaveLength(1);
  });
});
