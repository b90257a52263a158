import {describe, expect, it} from 'vitest';
import {type AdmissionRequest, type PoolAdmission} from '../../index.js';
import {
  engage,
  FixedServer,
  makeAdmission,
  makeRequest,
} from './load_test_utils.js';

const CLOSED_MS = 1_000;

function makeClosedServer(): FixedServer {
  const server = new FixedServer('s');
  server.startMs = CLOSED_MS;
  return server;
}

/** Makes the server's prediction current, so that it isn't tried anew. */
function occupy(
  admission: PoolAdmission<AdmissionRequest>,
  server: FixedServer,
): void {
  admission.noteSent(makeRequest(0, {deadlineAt: 1e9}), server, 0);
}

describe('a pool without congestion', () => {
  // Guards against requests that are delayed although servers are free.
  it('starts each request at any server', () => {
    const admission = makeAdmission();
    const servers = [new FixedServer('a'), new FixedServer('b')];
    const req = makeRequest(0);
    expect(admission.submit(req, servers, 0)).toEqual({kind: 'start'});
    expect(admission.openServers(req, servers, 0)).toEqual(servers);
    expect(admission.isCongested(0)).toBe(false);
    expect(admission.nextCheckAt(0)).toBeUndefined();
  });

  // Guards against limits derived from estimates that don't exist yet.
  it('limits nothing without estimates', () => {
    const admission = makeAdmission();
    const server = new FixedServer('s');
    server.idleMs = 0;
    server.work = 0;
    for (let now = 0; now < 500; now += 1) {
      const req = makeRequest(now);
      expect(admission.submit(req, [server], now).kind).toBe('start');
      admission.noteSent(req, server, now);
    }
    expect(admission.isCongested(500)).toBe(false);
  });

  // All gateways try a closed server. If each did so as often as a single one,
  // these requests alone would keep its queue full.
  it('tries a closed server the less often, the more gateways share it', () => {
    const admission = makeAdmission();
    const server = makeClosedServer();
    const first = makeRequest(0);
    admission.noteSent(first, server, 0);
    admission.noteEnded(first.id, 10);
    admission.useWeights({weightOf: () => 1, gatewayWeight: 1, gateways: 20});
    const isOpen = (now: number): boolean =>
      admission.openServers(makeRequest(now), [server], now).length > 0;
    expect(isOpen(19 * 200)).toBe(false);
    expect(isOpen(21 * 200)).toBe(true);
  });

  // Guards against a server that stays closed for ever, as only a response can
  // renew its prediction.
  it('tries a server whose prediction is old', () => {
    const admission = makeAdmission();
    const server = makeClosedServer();
    const first = makeRequest(0);
    admission.noteSent(first, server, 0);
    admission.noteEnded(first.id, 10);
    const req = makeRequest(20);
    expect(admission.submit(req, [server], 20).kind).toBe('wait');
    expect(admission.next(() => [server], 100)).toBeUndefined();
    const decision = admission.submit(makeRequest(300), [server], 300);
    expect(decision.kind).toBe('start');
  });
});

describe('refusals', () => {
  // Guards against queues that exhaust the gateway's memory.
  it('come when the queue is full in requests or bytes', () => {
    const cases = [{maxQueuedRequests: 3}, {maxQueuedBytes: 300}];
    for (const settings of cases) {
      const admission = makeAdmission(settings);
      const server = makeClosedServer();
      occupy(admission, server);
      const decisions = Array.from({length: 5}, (_, index) =>
        admission.submit(
          makeRequest(0, {workspace: `ws${index}`}),
          [server],
          0,
        ),
      );
      const kinds = decisions.map(({kind}) => kind);
      expect(kinds).toEqual(['wait', 'wait', 'wait', 'refuse', 'refuse']);
      expect(decisions[4]).toMatchObject({reason: 'queueFull'});
      expect(admission.describe(0)).toMatchObject({waiting: 3, bytes: 300});
    }
  });

  // Guards against requests that wait for servers which don't exist.
  it('come when no server is left', () => {
    const admission = makeAdmission();
    expect(admission.submit(makeRequest(0), [], 0)).toMatchObject({
      kind: 'refuse',
      reason: 'noServer',
    });
    const server = makeClosedServer();
    occupy(admission, server);
    const req = makeRequest(1);
    admission.submit(req, [server], 1);
    admission.keepOnly(new Set());
    expect(admission.nextCheckAt(2)).toBe(2);
    const [refused] = admission.expire(2);
    expect(refused).toMatchObject({req, refusal: {reason: 'noServer'}});
    expect(admission.isCongested(2)).toBe(false);
  });

  // Guards against requests that start after their deadline.
  it('come when the deadline has passed', () => {
    const admission = makeAdmission();
    const servers = [new FixedServer('s')];
    const decision = admission.submit(makeRequest(0), servers, 1_000);
    expect(decision).toMatchObject({kind: 'refuse', reason: 'deadline'});
  });

  // Guards against retries that return all at once: the times of a refused
  // surge are spread, and the limits of 150 ms and 60 s (plus half) hold.
  it('carry retry times that grow with the refused work', () => {
    const admission = makeAdmission({maxQueuedRequests: 1});
    const server = makeClosedServer();
    occupy(admission, server);
    const times: number[] = [];
    for (let index = 0; index < 200; index += 1) {
      const decision = admission.submit(makeRequest(0), [server], 0);
      if (decision.kind === 'refuse') times.push(decision.retryAfterMs);
    }
    expect(times.length).toBe(199);
    expect(Math.min(...times)).toBeGreaterThanOrEqual(150);
    expect(Math.max(...times)).toBeLessThanOrEqual(90_000);
    expect(times.at(-1)).toBeGreaterThan(10 * times[0]!);
  });
});

describe('waiting requests', () => {
  // Guards against work for callers that have left.
  it('are removed when their caller leaves', () => {
    const admission = makeAdmission();
    const server = makeClosedServer();
    occupy(admission, server);
    const req = makeRequest(0);
    admission.submit(req, [server], 0);
    expect(admission.remove(req.id)).toBe(true);
    expect(admission.remove(req.id)).toBe(false);
    server.startMs = 0;
    expect(admission.next(() => [server], 1)).toBeUndefined();
    expect(admission.describe(1)).toMatchObject({waiting: 0, bytes: 0});
  });

  // Guards against a resumed gateway that sends requests which are late.
  it('are refused when the gateway resumes after a freeze', () => {
    const admission = makeAdmission();
    const server = makeClosedServer();
    occupy(admission, server);
    const waiting = ['a', 'b', 'c'].map(workspace =>
      makeRequest(0, {workspace}),
    );
    for (const req of waiting) admission.submit(req, [server], 0);
    server.startMs = 0;
    const resumedAt = 800;
    const refused = admission.expire(resumedAt);
    expect(refused.map(({req}) => req)).toEqual(waiting);
    expect(admission.next(() => [server], resumedAt)).toBeUndefined();
  });

  // Guards against late requests that displace those which can be in target,
  // and against late requests that are lost in a short congestion.
  it('become late, and start when nothing else waits', () => {
    const admission = makeAdmission();
    const server = makeClosedServer();
    occupy(admission, server);
    const late = makeRequest(0);
    admission.submit(late, [server], 0);
    expect(admission.expire(150)).toEqual([]);
    expect(admission.describe(150)).toMatchObject({waiting: 1, late: 1});
    const fresh = makeRequest(150);
    admission.submit(fresh, [server], 150);
    server.startMs = 0;
    expect(admission.next(() => [server], 151)).toBe(fresh);
    expect(admission.next(() => [server], 151)).toBe(late);
  });

  // Guards against requests that take longer than their target on any server
  // and would never be served under load.
  it('that exceed their target on an idle server wait by their deadline', () => {
    const admission = makeAdmission();
    const server = makeClosedServer();
    server.idleMs = 400;
    occupy(admission, server);
    const req = makeRequest(0);
    admission.submit(req, [server], 0);
    expect(admission.expire(300)).toEqual([]);
    expect(admission.describe(300)).toMatchObject({waiting: 1, late: 0});
    server.startMs = 0;
    expect(admission.next(() => [server], 301)).toBe(req);
  });

  // Guards against a head of the queue that blocks others for which a server
  // is open.
  it('overtake those whose servers are closed', () => {
    const admission = makeAdmission();
    const closed = makeClosedServer();
    const other = new FixedServer('other');
    occupy(admission, closed);
    const first = makeRequest(0, {workspace: 'a'});
    const second = makeRequest(0, {workspace: 'b'});
    admission.submit(first, [closed], 0);
    admission.submit(second, [closed], 0);
    const serversOf = (req: AdmissionRequest) =>
      req === second ? [other] : [closed];
    expect(admission.next(serversOf, 1)).toBe(second);
    expect(admission.next(serversOf, 1)).toBeUndefined();
  });

  // Guards against low priorities that starve, and against high ones that wait
  // behind them.
  it('of lower priorities get their part of the dispatches', () => {
    const admission = makeAdmission();
    const server = makeClosedServer();
    occupy(admission, server);
    const served = new Map<number, number>();
    const fill = () => {
      for (const priority of [9, 5, 1]) {
        const req = makeRequest(0, {priority, deadlineAt: 1e9});
        const {waitingByPriority} = admission.describe(0);
        if (!waitingByPriority[priority]) admission.submit(req, [server], 0);
      }
    };
    for (let round = 0; round < 1_000; round += 1) {
      server.startMs = CLOSED_MS;
      fill();
      server.startMs = 0;
      const {priority} = admission.next(() => [server], 0)!;
      served.set(priority, (served.get(priority) ?? 0) + 1);
    }
    expect(served.get(9)).toBeGreaterThanOrEqual(890);
    expect(served.get(5)).toBeGreaterThanOrEqual(80);
    expect(served.get(1)).toBeGreaterThanOrEqual(5);
  });

  // Guards against round robin that ignores the workspaces' weights.
  it('take turns by the weights of their workspaces', () => {
    const admission = makeAdmission();
    admission.useWeights({
      weightOf: workspace => (workspace === 'heavy' ? 3 : 1),
      gatewayWeight: 1,
    });
    const server = makeClosedServer();
    occupy(admission, server);
    const served = {heavy: 0, light: 0};
    // Flows need a rate before more than one of their requests may wait.
    for (let index = 0; index < 400; index += 1) {
      for (const workspace of ['heavy', 'light']) {
        admission.noteSent(makeRequest(0, {workspace}), server, 0);
      }
    }
    for (let round = 0; round < 400; round += 1) {
      server.startMs = CLOSED_MS;
      for (const workspace of ['heavy', 'light']) {
        for (let count = 0; count < 2; count += 1) {
          admission.submit(makeRequest(0, {workspace}), [server], 0);
        }
      }
      server.startMs = 0;
      const req = admission.next(() => [server], 0);
      served[req?.workspace === 'heavy' ? 'heavy' : 'light'] += 1;
    }
    expect(served.heavy / served.light).toBeGreaterThan(2.7);
    expect(served.heavy / served.light).toBeLessThan(3.3);
  });
});

describe('the state for operators', () => {
  // Guards against a dump that grows with the number of workspaces.
  it('is bounded and plain JSON', () => {
    const admission = makeAdmission({maxQueuedRequests: 1});
    const server = makeClosedServer();
    engage(admission, server, 0);
    occupy(admission, server);
    for (let index = 0; index < 500; index += 1) {
      const req = makeRequest(0, {workspace: `ws${index}`});
      admission.submit(req, [server], 200);
    }
    const state = admission.describe(200);
    expect(JSON.parse(JSON.stringify(state))).toEqual(state);
    const byWorkspace = state.refusedByWorkspace;
    expect(Object.keys(byWorkspace).length).toBeLessThanOrEqual(65);
    const sum = Object.values(byWorkspace).reduce((a, b) => a + b, 0);
    expect(sum + state.waiting).toBe(500);
    expect(state.engagedServers).toBe(1);
    expect(state.windows['s']).toMatchObject({engaged: true});
  });

  // Guards against state of servers that have left.
  it('forgets servers that are no longer listed', () => {
    const admission = makeAdmission();
    const server = new FixedServer('s');
    engage(admission, server, 0);
    expect(admission.isCongested(200)).toBe(true);
    admission.keepOnly(new Set(['other']));
    expect(admission.isCongested(200)).toBe(false);
    expect(admission.describe(200).windows).toEqual({});
  });
});
