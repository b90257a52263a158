import {type EngineRequest, type ModelEngine} from '@lovagepond/backend';
import {lovagepond} from '@lovagepond/protocol';
import {expect, test} from 'vitest';
import {runAtBackend} from '../../sidecar_backend.js';

test('streams only when the top-level field requests it', () => {
  // The caller expects a single response, but a nested object of its request
  // has a `stream` field. A streamed run would return the raw text of an event
  // stream.
  const isStreamed = (body: object): boolean => {
    const seen: EngineRequest[] = [];
    const run = (request: EngineRequest): never[] => {
      seen.push(request);
      return [];
    };
    const engine = {run} as unknown as ModelEngine;
    const bytes = Buffer.from(JSON.stringify(body));
    const request = new lovagepond.v1.AttemptRequest({body: bytes});
    const {signal} = new AbortController();
    const rest = {deadline: 1, resumeFrom: 0, signal};
    runAtBackend({kind: 'engine', engine}, {request, ...rest}, 0);
    return seen[0]?.stream === true;
  };
  expect(isStreamed({messages: [], stream: true})).toBe(true);
  expect(isStreamed({messages: [], stream: false})).toBe(false);
  expect(isStreamed({messages: [], metadata: {stream: true}})).toBe(false);
});
