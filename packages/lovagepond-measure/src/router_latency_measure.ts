/**
 * Latency added by router and sidecar: the same calls, directly to the backend
 * server and through both, in turn.
 */
import {Agent, request} from 'undici';
import {Distribution, roundTo} from './measure_statistics.js';
import {type MeasureSection} from './measure_types.js';
import {type BenchUrls, RouterBench} from './router_bench.js';

const WARM_UP = 300;
const RESOLUTION_MS = 0.001;
const PERCENTILES = [50, 90, 99];
const COMMAND = 'npm run measure -- router';

/** One kind of call, made directly and through the router. */
interface CallPair {
  readonly name: string;
  readonly stepMs: number;
  readonly calls: number;
  readonly direct: (urls: BenchUrls) => string;
  readonly routed: (urls: BenchUrls) => string;
  readonly body: string;
}

const QUESTION = {role: 'user', content: 'Which voucher fits?'};
const CHAT_BODY = JSON.stringify({
  messages: [QUESTION],
  stream: true,
  max_tokens: 1,
});

function makeChatPair(stepMs: number, calls: number): CallPair {
  const path = '/v1/chat/completions';
  return {
    name: `streamed chat, engine steps of ${stepMs} ms`,
    stepMs,
    calls,
    direct: urls => urls.engine + path,
    routed: urls => urls.router + path,
    body: CHAT_BODY,
  };
}

const PAIRS: readonly CallPair[] = [
  {
    name: 'service call',
    stepMs: 1,
    calls: 400,
    direct: urls => `${urls.service}/check`,
    routed: urls => `${urls.router}/services/check`,
    body: '{}',
  },
  makeChatPair(1, 400),
  makeChatPair(20, 100),
];

interface Call {
  readonly url: string;
  readonly body: string;
  readonly number: number;
}

async function timeCall(agent: Agent, call: Call): Promise<number> {
  const start = performance.now();
  const kind = call.url.includes('/services/') ? 'call' : 'chat';
  const answer = await request(call.url, {
    method: 'POST',
    dispatcher: agent,
    headers: {
      'content-type': 'application/json',
      'x-request-id': `${call.number}`,
      'x-lovagepond-workspace': 'bench',
      'x-lovagepond-chat': `chat-${call.number}`,
      'x-lovagepond-request-kind': kind,
    },
    body: call.body,
  });
  const text = await answer.body.text();
  if (answer.statusCode !== 200) throw new Error(text);
  return performance.now() - start;
}

function makeRow(name: string, direct: Distribution, routed: Distribution) {
  return PERCENTILES.map(percent => {
    const before = direct.percentile(percent);
    const after = routed.percentile(percent);
    return [
      name,
      `p${percent}`,
      roundTo(before, 3),
      roundTo(after, 3),
      roundTo(after - before, 3),
      roundTo(after / before, 2),
    ];
  });
}

async function measurePair(pair: CallPair): Promise<(string | number)[][]> {
  const bench = new RouterBench();
  const agent = new Agent();
  const direct = new Distribution(RESOLUTION_MS);
  const routed = new Distribution(RESOLUTION_MS);
  const urls = await bench.start(pair.stepMs);
  try {
    for (let number = 0; number < WARM_UP + pair.calls; number += 1) {
      const {body} = pair;
      const directCall = {url: pair.direct(urls), body, number: 2 * number};
      const routedCall = {url: pair.routed(urls), body, number: 2 * number + 1};
      const directMs = await timeCall(agent, directCall);
      const routedMs = await timeCall(agent, routedCall);
      if (number < WARM_UP) continue;
      direct.record(directMs);
      routed.record(routedMs);
    }
  } finally {
    await agent.close();
    await bench.stop();
  }
  return makeRow(pair.name, direct, routed);
}

/** @returns the table of latencies */
export async function measureRouterLatency(): Promise<MeasureSection> {
  const rows: (string | number)[][] = [];
  for (const pair of PAIRS) rows.push(...(await measurePair(pair)));
  return {
    title: 'Latency of a whole answer, direct and through router and sidecar',
    columns: ['call', 'at', 'direct ms', 'routed ms', 'added ms', 'ratio'],
    rows,
    notes: [
      COMMAND,
      `${PAIRS.map(pair => pair.calls).join(', ')} pairs, one call at a time, ` +
        `direct and routed in turn, after ${WARM_UP} warm-up pairs`,
      'caller, router, sidecar, control and backend server share one process ' +
        'and one core: in separate processes they add less',
    ],
  };
}
