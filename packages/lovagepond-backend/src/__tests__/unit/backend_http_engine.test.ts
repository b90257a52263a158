import {afterEach, expect, test} from 'vitest';
import {fakeAnswerText} from '../../index.js';
import {
  cleanUp,
  collect,
  completion,
  connectEngine,
  contentOf,
  startEngine,
} from './backend_test_utils.js';

afterEach(cleanUp);

test('streams an answer, and finds the context warm the next time', async () => {
  const server = await startEngine();
  const engine = connectEngine(server.address);
  const first = await collect(engine, completion('r1'));
  expect(first.events.slice(0, 2)).toEqual([
    {kind: 'dispatched'},
    expect.objectContaining({kind: 'started', cachedTokens: 0}),
  ]);
  expect(contentOf(first.text)).toBe(fakeAnswerText('r1', 20));
  expect(first.text).not.toContain('[DONE]');
  const totalBytes = first.text.length;
  expect(first.last).toMatchObject({kind: 'end', totalBytes});
  const second = await collect(engine, completion('r2'));
  expect(second.events[1]).toMatchObject({kind: 'started'});
  expect(second.last).toMatchObject({usage: {answerTokens: 20}});
  expect(JSON.stringify(second.last)).not.toContain('"cachedTokens":0');
});

test('makes one JSON answer when no stream is wanted', async () => {
  const server = await startEngine();
  const engine = connectEngine(server.address);
  const {text, last} = await collect(engine, completion('r1', {stream: false}));
  const answer = JSON.parse(text) as Record<string, unknown>;
  expect(answer).toMatchObject({
    id: 'r1',
    object: 'chat.completion',
    choices: [
      {
        message: {role: 'assistant', content: fakeAnswerText('r1', 20)},
        finish_reason: 'stop',
      },
    ],
    usage: {completion_tokens: 20},
  });
  expect(last).toMatchObject({kind: 'end', totalBytes: text.length});
});
