import {type BackendServer, type Membership} from '@lovagepond/core';
import {describe, expect, it, test} from 'vitest';
import {GatewayFleet} from '../../gateway_fleet.js';
import {makeBackendServer} from './backend_servers.js';

const PROMPT = [{id: 'a', tokens: 900}];

function membershipOf(...servers: readonly BackendServer[]): Membership {
  const byName = new Map(servers.map(server => [server.name, server]));
  return {version: 1, servers: byName};
}

function fleetWithWarmServer(): GatewayFleet {
  const fleet = new GatewayFleet();
  fleet.useMembership(membershipOf(makeBackendServer('x')));
  fleet.find('x')?.noteWarm(['a'], 0, 0);
  fleet.useMembership(membershipOf());
  return fleet;
}

// A partition unlists servers for some seconds. Forgetting what they hold would
// have other engines compute it again.
describe('a server that control lists again', () => {
  it('still counts as holding its prompts', () => {
    const fleet = fleetWithWarmServer();
    fleet.expire(100);
    expect(fleet.size).toBe(0);
    expect(fleet.find('x')).toBeUndefined();
    fleet.useMembership(membershipOf(makeBackendServer('x')));
    expect(fleet.find('x')?.coldTokens(PROMPT)).toBe(0);
  });

  it('is a new server to gateways after 30 s', () => {
    const fleet = fleetWithWarmServer();
    fleet.expire(100);
    fleet.expire(30_200);
    fleet.useMembership(membershipOf(makeBackendServer('x')));
    expect(fleet.find('x')?.coldTokens(PROMPT)).toBe(900);
  });

  // Prompts were sent to a restarted server as if its cache weren't empty.
  it('is a new server after a restart', () => {
    const fleet = fleetWithWarmServer();
    const restarted = makeBackendServer('x', {incarnation: 'x2'});
    fleet.useMembership(membershipOf(restarted));
    expect(fleet.find('x')?.coldTokens(PROMPT)).toBe(900);
  });

  // Gateways would see requests at it that ended long before.
  it('has no outdated requests of other gateways', () => {
    const fleet = new GatewayFleet();
    fleet.useMembership(membershipOf(makeBackendServer('x')));
    fleet.find('x')?.noteRemoteRequests('', 5, 0, 1_000);
    fleet.useMembership(membershipOf());
    fleet.expire(4_000);
    fleet.useMembership(membershipOf(makeBackendServer('x')));
    expect(fleet.find('x')?.load(4_000)).toBe(0);
    expect(fleet.find('x')?.remotePrefillTokens).toBe(0);
  });

  it('is a new server after another instance has answered', () => {
    const fleet = new GatewayFleet();
    fleet.useMembership(membershipOf(makeBackendServer('x')));
    const former = fleet.find('x');
    former?.markReplaced();
    fleet.useMembership(membershipOf());
    fleet.useMembership(membershipOf(makeBackendServer('x')));
    expect(fleet.find('x')).not.toBe(former);
  });
});

// The server was excluded until control unlisted it, which it needn't do.
describe('a server that another instance has replaced', () => {
  it('is used again once control lists that instance', () => {
    const fleet = new GatewayFleet();
    fleet.useMembership(membershipOf(makeBackendServer('x')));
    fleet.find('x')?.markReplaced();
    expect(fleet.ready('p', 0)).toEqual([]);
    const restarted = makeBackendServer('x', {incarnation: 'x2'});
    fleet.useMembership(membershipOf(restarted));
    expect(fleet.ready('p', 0)).toEqual([fleet.find('x')]);
  });
});

// It would start with what the servers of its former pool have learned.
test('a server that restarts in another pool uses the means of that pool', () => {
  const fleet = new GatewayFleet();
  const other = makeBackendServer('y');
  fleet.useMembership(membershipOf(makeBackendServer('x'), other));
  fleet.find('y')?.capacity.noteService('call', 40, 0, 4, 0);
  expect(fleet.find('x')?.capacity.serviceMs('call', 2_000)).toBe(40);
  const moved = makeBackendServer('x', {incarnation: 'x2', pool: 'q'});
  fleet.useMembership(membershipOf(moved, other));
  expect(fleet.find('x')?.capacity.serviceMs('call', 2_000)).toBeUndefined();
});

// Guards against a cold process that is flooded, as a lagging member of control
// lists the former one at its address.
test('a server that was replaced gets nothing when an older list has it again', () => {
  const former = makeBackendServer('x@1', {incarnation: 'x'});
  const present = makeBackendServer('x@2', {incarnation: 'x'});
  const fleet = new GatewayFleet();
  const readyAfter = (...servers: readonly BackendServer[]): string[] => {
    fleet.useMembership(membershipOf(...servers));
    return fleet.ready(former.pool, 0).map(({server}) => server.name);
  };
  expect(readyAfter(former)).toEqual(['x@1']);
  expect(readyAfter(present)).toEqual(['x@2']);
  expect(readyAfter(former)).toEqual([]);
  expect(readyAfter(present)).toEqual(['x@2']);
});
