import {type Logger, type LogFields} from '@lovagepond/core';
import {expect, test} from 'vitest';
import {HTTP_LIMIT, HttpLimitCounts} from '../../http_limit_counts.js';

// Guards against a log line for each connection of a crowd.
test('each limit is counted, and logged once a second at most', () => {
  const lines: (LogFields | undefined)[] = [];
  const ignore = (): void => undefined;
  const log: Logger = {
    debug: ignore,
    info: ignore,
    warn: (_message, fields) => lines.push(fields),
    error: ignore,
  };
  const counts = new HttpLimitCounts(log);
  for (const now of [0, 500, 999, 1_000]) counts.note(HTTP_LIMIT.QUIET, now);
  counts.note(HTTP_LIMIT.UNREAD, 1_001);
  expect(counts.read()).toMatchObject({quiet: 4, unread: 1, heads: 0});
  expect(lines).toEqual([
    {limit: 'quiet', closed: 1},
    {limit: 'quiet', closed: 4},
    {limit: 'unread', closed: 1},
  ]);
});
