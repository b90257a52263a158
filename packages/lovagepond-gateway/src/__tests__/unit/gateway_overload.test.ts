import {request} from 'node:http';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {answer, clock, KEY, NAMES, type Script} from './gateway_harness.js';
import {
  ADMISSION,
  contentWith,
  OverloadedPool,
  statusesOf,
  WORK_MS,
} from './overloaded_pool.js';

let pool: OverloadedPool;

beforeEach(() => {
  pool = new OverloadedPool();
});

afterEach(() => {
  pool.stop();
});

describe('a pool with admission control', () => {
  // Guards against urgent calls that wait behind others in a server's queue.
  it('queues a burst and sends it in order of priority', async () => {
    await pool.start([pool.holding]);
    const calls = await pool.occupy();
    for (const kind of ['low', 'read', 'high']) {
      calls.push(pool.call(`/${kind}/burst`));
      await pool.untilWaiting(calls.length - 1);
    }
    expect(pool.reached).toEqual(['/read/busy-0']);
    const responses = await pool.answerAll(calls);
    expect(statusesOf(responses)).toEqual([200, 200, 200, 200]);
    const order = ['/high/burst', '/read/burst', '/low/burst'];
    expect(pool.reached).toEqual(['/read/busy-0', ...order]);
    const ended = pool.linesOf('request ended').map(({waitMs}) => waitMs);
    const waited = ended.filter(waitMs => Number(waitMs) >= 0);
    expect(waited).toHaveLength(order.length);
  });

  // Guards against a queue without a limit, and against callers who learn only
  // at their deadline that they won't be served.
  it('refuses at once when its queue is full', async () => {
    await pool.start([pool.holding], {...ADMISSION, maxQueuedRequests: 1});
    const calls = await pool.occupy();
    calls.push(...(await pool.queue(1)));
    const headers = {[NAMES.apiKey]: 'key-8'};
    const refused = await pool.call('/read/refused', headers);
    expect(refused.status).toBe(503);
    expect(JSON.parse(refused.body)).toMatchObject({
      error: {kind: 'overloaded'},
    });
    expect(statusesOf(await pool.answerAll(calls))).toEqual([200, 200]);
    expect(pool.reached).not.toContain('/read/refused');
    expect(pool.linesOf('request refused by admission')).toMatchObject([
      {workspace: 'workspace-8', pool: 'servers', reason: 'queueFull'},
    ]);
    // The caller gets the decided time, without a second jitter.
    const [line] = pool.linesOf('request refused by admission');
    expect(line?.['flowRate']).toBeGreaterThanOrEqual(0);
    const retryAfterMs = Number(refused.headers['retry-after']) * 1_000;
    expect(retryAfterMs).toBeGreaterThanOrEqual(150);
    expect(
      Math.abs(retryAfterMs - Number(line?.['retryAfterMs'])),
    ).toBeLessThan(10);
    expect(pool.gateway.overload.describe(clock.now())).toMatchObject({
      pools: {servers: {refusedByWorkspace: {'workspace-8': 1}}},
      refusedByReason: {queueFull: 1},
      waitedRequests: 1,
    });
  });

  it('refuses at once a request whose deadline is too short', async () => {
    await pool.start([pool.holding]);
    const calls = await pool.occupy();
    const headers = {[NAMES.deadlineMs]: String(WORK_MS / 2)};
    const refused = await pool.call('/read/refused', headers);
    expect(refused.status).toBe(503);
    expect(JSON.parse(refused.body)).toMatchObject({
      error: {kind: 'deadlineUnreachable'},
    });
    expect(refused.headers['retry-after']).toBeDefined();
    expect(statusesOf(await pool.answerAll(calls))).toEqual([200]);
    expect(pool.reached).toEqual(['/read/busy-0']);
  });

  // Guards against servers that work for callers who have gone.
  it('drops a queued request when its caller disconnects', async () => {
    await pool.start([pool.holding]);
    const calls = await pool.occupy();
    const req = request({
      host: '127.0.0.1',
      port: pool.gateway.server.port,
      path: '/read/gone',
      headers: {host: 'shop.example', [NAMES.apiKey]: KEY},
    });
    req.on('error', () => {});
    req.end();
    await pool.untilWaiting(1);
    req.destroy();
    await pool.untilWaiting(0);
    calls.push(...(await pool.queue(1)));
    expect(statusesOf(await pool.answerAll(calls))).toEqual([200, 200]);
    expect(pool.reached).toEqual(['/read/busy-0', '/read/queued-0']);
    expect(pool.gateway.counters.read().endedByOutcome['callerGone']).toBe(1);
  });

  // Guards against queued requests that are sent to a server chosen earlier.
  it.each([
    ['says that it is leaving', 200, {[NAMES.leaving]: '1'}],
    ['asks for a pause', 503, {[NAMES.notRun]: '1', 'retry-after': '60'}],
  ])('sends none to a server that %s', async (_case, status, headers) => {
    const stopping: Script = (req, res) => {
      pool.reached.push(req.url ?? '');
      for (const [name, value] of Object.entries(headers)) {
        res.setHeader(name, value);
      }
      const finish = (): void => {
        answer(req, res, status, '');
      };
      pool.held.push({url: req.url ?? '', finish});
    };
    await pool.start([stopping, pool.holding]);
    const calls = await pool.occupy(2);
    calls.push(...(await pool.queue(3)));
    const before = pool.gateway.arrivals.length;
    const responses = await pool.answerAll(calls);
    expect(statusesOf(responses)).toEqual([200, 200, 200, 200, 200]);
    const later = pool.gateway.arrivals.slice(before);
    expect(later).toEqual(later.map(() => 'server-1'));
  });

  // Guards against requests that wait until their deadline for a dead server.
  it('sends queued requests elsewhere when a server dies', async () => {
    await pool.start([pool.holding, pool.holding]);
    const calls = await pool.occupy(2);
    calls.push(...(await pool.queue(4)));
    const {port} = new URL(`http://${pool.gateway.addressOf('server-0')}`);
    const before = pool.gateway.arrivals.length;
    pool.gateway.crash(Number(port));
    // The call that ran is tried again before those that wait, and counts.
    await pool.untilReached(3);
    expect(pool.reached.at(-1)).toMatch(/busy/);
    expect(pool.gateway.overload.describe(clock.now())).toMatchObject({
      pools: {servers: {waiting: 4, windows: {'server-1': {inFlight: 2}}}},
    });
    const responses = await pool.answerAll(calls);
    expect(statusesOf(responses)).toEqual(responses.map(() => 200));
    const later = pool.gateway.arrivals.slice(before);
    expect(later).toEqual(later.map(() => 'server-1'));
  });

  it('refuses queued requests when no server is left', async () => {
    await pool.start([pool.holding]);
    const calls = await pool.occupy();
    const queued = await pool.queue(3);
    pool.gateway.gatewayFleet.useMembership({version: 2, servers: new Map()});
    pool.gateway.overload.keepOnly(new Set());
    const responses = await Promise.all(queued);
    expect(statusesOf(responses)).toEqual([503, 503, 503]);
    for (const {body} of responses) {
      expect(JSON.parse(body)).toMatchObject({
        error: {kind: 'noBackendServer'},
      });
    }
    expect(statusesOf(await pool.answerAll(calls))).toEqual([200]);
    expect(pool.reached).toEqual(['/read/busy-0']);
  });
});

describe('a gateway that ends', () => {
  // Guards against callers whose connection closes without an answer, and who
  // can't know whether their request ran.
  it.each([
    ['drains', () => pool.gateway.server.beginDraining(clock.now() + 60_000)],
    ['stops', () => pool.gateway.server.stop()],
  ])('answers its whole queue when it %s', async (_case, end) => {
    await pool.start([pool.holding], {...ADMISSION, maxQueuedRequests: 5});
    const calls = await pool.occupy();
    calls.forEach(one => one.catch(() => {}));
    const queued = await pool.queue(5);
    end();
    const responses = await Promise.all(queued);
    for (const {status, body, whole} of responses) {
      expect({status, whole}).toEqual({status: 503, whole: true});
      expect(JSON.parse(body)).toMatchObject({
        error: {kind: 'notReady'},
      });
    }
    expect(pool.reached).toEqual(['/read/busy-0']);
  });

  it('finishes running requests and queues no further ones', async () => {
    await pool.start([pool.holding]);
    const calls = await pool.occupy();
    pool.gateway.server.beginDraining(clock.now() + 60_000);
    const late = await pool.call('/read/late');
    expect(late.status).toBe(503);
    expect(JSON.parse(late.body)).toMatchObject({error: {kind: 'notReady'}});
    expect(statusesOf(await pool.answerAll(calls))).toEqual([200]);
    await pool.gateway.server.finish();
    expect(pool.reached).toEqual(['/read/busy-0']);
  });
});

describe('a pool without admission control', () => {
  // Guards against a change of behaviour for operators who did not ask for it.
  it('gets each request on arrival', async () => {
    await pool.start([pool.holding], null);
    const calls = await pool.occupy();
    calls.push(...Array.from({length: 8}, () => pool.call('/read/more')));
    await pool.untilReached(9);
    expect(statusesOf(await pool.answerAll(calls))).toEqual(
      calls.map(() => 200),
    );
    expect(pool.gateway.overload.describe(clock.now())).toMatchObject({
      pools: {},
    });
  });

  // Guards against requests that stay in a queue that nothing empties.
  it('gets its queue at once when admission control is removed', async () => {
    await pool.start([pool.holding]);
    const calls = await pool.occupy();
    calls.push(...(await pool.queue(4)));
    pool.gateway.overload.useConfiguration(contentWith(undefined));
    await pool.untilReached(5);
    expect(pool.waiting()).toBe(0);
    expect(statusesOf(await pool.answerAll(calls))).toEqual(
      calls.map(() => 200),
    );
  });

  it('queues requests once it has admission control', async () => {
    await pool.start([pool.holding], null);
    pool.gateway.overload.useConfiguration(contentWith(ADMISSION));
    const calls = await pool.occupy();
    calls.push(...(await pool.queue(2)));
    expect(statusesOf(await pool.answerAll(calls))).toEqual([200, 200, 200]);
  });
});
