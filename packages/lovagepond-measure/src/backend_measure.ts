/**
 * Latency that the sidecar's adapters add to a call of a backend server.
 */
import {
  DEFAULT_FAKE_ENGINE_SETTINGS,
  DEFAULT_FAKE_SERVER_SETTINGS,
  DEFAULT_HTTP_CLIENT_SETTINGS,
  DEFAULT_MAX_CACHE_BYTES,
  FakeEngineServer,
  FakeServiceServer,
  HttpModelEngine,
  HttpPlainService,
} from '@lovagepond/backend';
import {Random} from '@lovagepond/core';
import {Pool} from 'undici';
import {MEASURE_CLOCK} from './measure_environment.js';
import {Distribution, roundTo} from './measure_statistics.js';
import {type MeasureSection} from './measure_types.js';

const SEED = 700;
const WARM_UP_CALLS = 100;
const CALLS = 500;
const ANSWER_TOKENS = 4;
const DEADLINE_MS = 60_000;
const RESOLUTION_MS = 0.001;
const COMMAND = 'npm run measure -- backend';
const LOOPBACK = {host: '127.0.0.1', port: 0} as const;

type Call = (index: number) => Promise<void>;

async function timeCalls(call: Call): Promise<Distribution> {
  const times = new Distribution(RESOLUTION_MS);
  for (let index = 0; index < WARM_UP_CALLS + CALLS; index += 1) {
    const started = performance.now();
    await call(index);
    if (index >= WARM_UP_CALLS) times.record(performance.now() - started);
  }
  return times;
}

async function callDirectly(
  pool: Pool,
  path: string,
  requestId: string,
  body: Uint8Array,
): Promise<void> {
  const headers = {
    'content-type': 'application/json',
    'x-request-id': requestId,
    'x-lovagepond-workspace': 'shop',
    'x-lovagepond-chat': 'chat',
  };
  const answer = await pool.request({method: 'POST', path, headers, body});
  await answer.body.text();
}

function makeServiceCall(
  service: HttpPlainService,
  nonRepeatable: boolean,
): Call {
  return async index => {
    const now = MEASURE_CLOCK.now();
    const call = {
      requestId: `call-${nonRepeatable}-${index}`,
      workspace: 'shop',
      path: '/services/redeem',
      contentType: 'application/json',
      body: Buffer.from('{"code":7}'),
      nonRepeatable,
      deadline: now + DEADLINE_MS,
    };
    await service.call(call, now);
  };
}

async function measureService(): Promise<[string, Distribution][]> {
  const server = new FakeServiceServer(LOOPBACK);
  await server.start();
  const origin = `http://${server.address}`;
  const service = new HttpPlainService({
    ...DEFAULT_HTTP_CLIENT_SETTINGS,
    origin,
  });
  const pool = new Pool(origin);
  const body = Buffer.from('{"code":7}');
  const direct = await timeCalls(index =>
    callDirectly(pool, '/services/redeem', `direct-${index}`, body),
  );
  const pooled = await timeCalls(makeServiceCall(service, false));
  const fresh = await timeCalls(makeServiceCall(service, true));
  await pool.destroy();
  await service.close();
  await server.stop();
  return [
    ['service, direct', direct],
    ['service, repeatable call', pooled],
    ['service, call on its own connection', fresh],
  ];
}

function makeRun(
  engine: HttpModelEngine,
  body: Uint8Array,
  stream: boolean,
): Call {
  return async index => {
    const now = MEASURE_CLOCK.now();
    const run = engine.run(
      {
        requestId: `run-${stream}-${index}`,
        workspace: 'shop',
        chat: 'chat',
        priority: 5,
        path: '/v1/chat/completions',
        contentType: 'application/json',
        body,
        stream,
        resumeFrom: 0,
        deadline: now + DEADLINE_MS,
      },
      now,
    );
    for await (const event of run) {
      if (event.kind === 'failed') throw new Error(event.failure.message);
    }
  };
}

async function measureEngine(): Promise<[string, Distribution][]> {
  const server = new FakeEngineServer(
    {
      ...DEFAULT_FAKE_ENGINE_SETTINGS,
      ...DEFAULT_FAKE_SERVER_SETTINGS,
      ...LOOPBACK,
      stepMs: 1,
      decodeTokensPerSecond: 1e6,
    },
    {clock: MEASURE_CLOCK},
  );
  await server.start();
  const origin = `http://${server.address}`;
  const maxCacheBytes = DEFAULT_MAX_CACHE_BYTES;
  const engine = new HttpModelEngine(
    {...DEFAULT_HTTP_CLIENT_SETTINGS, origin, maxCacheBytes},
    new Random(SEED),
  );
  const pool = new Pool(origin);
  const messages = [{role: 'user', content: 'Which voucher fits?'}];
  const body = Buffer.from(
    JSON.stringify({messages, max_tokens: ANSWER_TOKENS, stream: true}),
  );
  const direct = await timeCalls(index =>
    callDirectly(pool, '/v1/chat/completions', `direct-${index}`, body),
  );
  const streamed = await timeCalls(makeRun(engine, body, true));
  const whole = await timeCalls(makeRun(engine, body, false));
  await pool.destroy();
  await engine.close();
  await server.stop();
  return [
    ['engine, direct', direct],
    ['engine, streamed', streamed],
    ['engine, in one piece', whole],
  ];
}

/** @returns medians of calls through the adapters and of direct ones */
export async function measureBackend(): Promise<MeasureSection[]> {
  const timed = [...(await measureService()), ...(await measureEngine())];
  const rows = timed.map(([name, times]) => [
    name,
    roundTo(times.percentile(50), 3),
    roundTo(times.percentile(95), 3),
  ]);
  return [
    {
      title: 'Calls of backend servers through the adapters',
      columns: ['call', 'p50 ms', 'p95 ms'],
      rows,
      notes: [
        `${COMMAND}; ${CALLS} calls each, one after the other, after ` +
          `${WARM_UP_CALLS} warm-up calls; fakes in the same process`,
        `engine answers have ${ANSWER_TOKENS} tokens, one a millisecond`,
      ],
    },
  ];
}
