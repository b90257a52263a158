import {describe, expect, it} from 'vitest';
import {
  findOnlyOrigin,
  HISTORY_REFUSAL,
  type ResumingRequest,
} from '../../gateway_stream_history.js';
import {StreamHistoryReader} from '../../gateway_stream_history_reader.js';
import {type lovagepond} from '@lovagepond/protocol';

type StreamHistory = lovagepond.v1.StreamHistoryResponse.$Properties;

const {UNCONFIRMED, INCOMPLETE, SEVERAL_POOLS, SELECTOR_CHANGED} =
  HISTORY_REFUSAL;
const {SEVERAL_VERSIONS, NO_VERSION} = HISTORY_REFUSAL;

const MAX_AGE_MS = 60_000;

const REQ: ResumingRequest = {
  pools: ['p'],
  host: 'shop.example',
  path: '/chat/a?q=1',
  maxAgeMs: MAX_AGE_MS,
};

const V1 = {pool: 'p', version: 'v1'};
const V2 = {pool: 'p', version: 'v2'};

function historyWith(more: StreamHistory): StreamHistory {
  return {confirmed: true, completeForMs: MAX_AGE_MS, versions: [V1], ...more};
}

function change(
  pathPrefix: string,
  ageMs: number,
  host = 'SHOP.example',
): StreamHistory {
  return {changes: [{host, pathPrefix, ageMs}]};
}

// Guards against streams of two versions after all gateways have restarted.
describe('a stream whose first server is unknown', () => {
  it.each<[string, StreamHistory]>([
    ['there was one version only', {}],
    [
      'another one has gone long ago',
      {versions: [V1, {...V2, goneForMs: MAX_AGE_MS + 1}]},
    ],
    [
      'another one serves another pool',
      {versions: [V1, {...V2, pool: 'other'}]},
    ],
    [
      'another one of servers without a version serves another pool',
      {versions: [V1, {pool: 'other', version: ''}]},
    ],
    ['requests to other paths were moved', change('/calls/', 5)],
    ['requests to other hosts were moved', change('/chat/', 5, 'x.example')],
    ['its requests were moved long ago', change('/chat/', MAX_AGE_MS + 1)],
  ])('can be resumed if %s', (_of, more) => {
    expect(findOnlyOrigin(historyWith(more), REQ)).toEqual({origin: V1});
  });

  it.each<[string, StreamHistory | undefined, string]>([
    ['control does not answer', undefined, UNCONFIRMED],
    ['control has no leader', {confirmed: false}, UNCONFIRMED],
    [
      'it may be older than the history',
      {completeForMs: MAX_AGE_MS - 1},
      INCOMPLETE,
    ],
    ['two versions serve', {versions: [V1, V2]}, SEVERAL_VERSIONS],
    [
      'another version has just gone',
      {versions: [V1, {...V2, goneForMs: MAX_AGE_MS}]},
      SEVERAL_VERSIONS,
    ],
    [
      'servers without a version have just gone',
      {versions: [V1, {pool: 'p', version: '', goneForMs: 1}]},
      SEVERAL_VERSIONS,
    ],
    ['no server of the pool is known', {versions: []}, NO_VERSION],
    ['its requests were moved', change('/chat/', MAX_AGE_MS), SELECTOR_CHANGED],
    ['a longer prefix was removed', change('/chat/a', 5), SELECTOR_CHANGED],
  ])('is unknown if %s', (_of, more, refusal) => {
    const history = more && historyWith(more);
    expect(findOnlyOrigin(history, REQ)).toEqual({refusal});
  });

  it.each([[[]], [['p', 'q']]])('is unknown in the pools %j', pools => {
    const verdict = findOnlyOrigin(historyWith({}), {...REQ, pools});
    expect(verdict).toEqual({refusal: SEVERAL_POOLS});
  });
});

// Guards against an answer from before the first server of a new version.
it('a request gets the history as of a time after its arrival', async () => {
  const asked: ((history: StreamHistory | undefined) => void)[] = [];
  const reader = new StreamHistoryReader(
    () => new Promise(resolve => asked.push(resolve)),
  );
  const first = reader.read();
  const late = [reader.read(), reader.read()];
  expect(asked).toHaveLength(1);
  asked[0]?.({completeForMs: 1});
  expect(await first).toEqual({completeForMs: 1});
  await expect.poll(() => asked.length).toBe(2);
  asked[1]?.({completeForMs: 2});
  for (const history of late) expect(await history).toEqual({completeForMs: 2});
});

it('a question that fails is an answer without a history', async () => {
  const reader = new StreamHistoryReader(() => Promise.reject(new Error('x')));
  expect(await reader.read()).toBeUndefined();
  expect(await reader.read()).toBeUndefined();
});
