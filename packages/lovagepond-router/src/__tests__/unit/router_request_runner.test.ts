import {expect, test} from 'vitest';
import {type RunnerContext} from '../../router_request_context.js';
import {RequestRunner} from '../../router_request_runner.js';
import {LIMITS} from '../fakes/request_world.js';
import {
  FakeSink,
  makeConfiguration,
  makeRequest,
} from '../fakes/router_fakes.js';

// An unexpected error in the asynchronous work of one request would, if
// uncaught, end the process and truncate every caller's stream. Only that
// request may fail.
test('an unexpected error in one request ends neither the process nor others', async () => {
  const {content} = makeConfiguration(1);
  const [workspace] = content.workspaces;
  const [requestKind] = content.requestKinds;
  const set = {selector: 'all', pools: content.pools, servers: []};
  const eligible = {workspace: workspace!, requestKind: requestKind!, set};
  const faults: unknown[] = [];
  const server = {name: 's1', incarnation: 'i1', address: 'host:1'};
  const host = {
    clock: {now: () => 0, wallTime: () => 0},
    limits: LIMITS,
    connections: {open: () => Promise.reject(new Error('a fault'))},
    place: () => ({server, eligible, poolMeanTokens: 0}),
    noteFault: (_runner: RequestRunner, err: unknown) => faults.push(err),
    completeFailure: (failure: unknown) => failure,
    noteDone: () => {},
  } as unknown as RunnerContext;
  const sink = new FakeSink();
  const request = makeRequest({deadline: 1_000});
  const runner = new RequestRunner(host, request, eligible, sink);
  runner.start();
  await expect.poll(() => faults.length).toBe(1);
  runner.tick(1_000);
  expect(sink.failure?.kind).toBe('deadlineUnreachable');
});
