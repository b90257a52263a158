import {afterEach, expect, test} from 'vitest';
import {GatewayHarness} from './gateway_harness.js';
import {answer} from './scripted_answers.js';

const LIMIT = 3;

let gateway: GatewayHarness;

afterEach(() => {
  gateway.stop();
});

// Guards against as many connections to servers as callers can send requests.
test('requests beyond the limit are refused as not run, also later ones', async () => {
  let arrivals = 0;
  const answers: (() => void)[] = [];
  gateway = await GatewayHarness.start(
    [
      (req, res) => {
        arrivals += 1;
        answers.push(() => {
          answer(req, res, 200, 'done');
        });
      },
    ],
    {maxRequests: LIMIT},
  );
  const running = Array.from({length: LIMIT}, () =>
    gateway.call({path: '/write/a'}),
  );
  await expect.poll(() => arrivals).toBe(LIMIT);
  const refused = await gateway.call({path: '/write/a'});
  expect(refused.status).toBe(503);
  expect(refused.body).toContain('overloaded');
  expect(Number(refused.headers['retry-after'])).toBeGreaterThan(0);
  for (const end of answers.splice(0)) end();
  for (const call of running) expect((await call).body).toBe('done');
  const next = gateway.call({path: '/write/a'});
  await expect.poll(() => answers.length).toBe(1);
  answers[0]?.();
  expect((await next).status).toBe(200);
});
