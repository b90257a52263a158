/**
 * Steps of the hourly burst: pools, requests of kiosks, and the load bound.
 */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {makeOffer} from '../world/offer_utils.js';
import {type Pool, type PoolOptions} from '../world/pool.js';
import {type ScenarioWorld} from '../world/scenario_world.js';

const MS_PER_SECOND = 1_000;
const POOL: PoolOptions = {
  size: 6,
  loadBound: 1.5,
  floorTokens: 4_000,
  meanAgeMs: 300,
};
/** An engine counts as busy with at least this share of the requests. */
const BUSY_SHARE = 0.1;
const ROUNDING_TOLERANCE = 1e-9;

const options = new WeakMap<ScenarioWorld, PoolOptions>();
const kioskIdsByWorld = new WeakMap<ScenarioWorld, string[]>();

Given<ScenarioWorld>(
  'a pool of {int} engines with a load bound of {float}',
  function (size, loadBound) {
    options.set(this, {...POOL, size, loadBound});
    this.createPool({...POOL, size, loadBound});
    this.pool.startTakingWork();
  },
);

Given<ScenarioWorld>(
  'the mean load arrives {int} second(s) late',
  function (seconds) {
    const meanAgeMs = seconds * MS_PER_SECOND;
    this.createPool({...POOL, ...options.get(this), meanAgeMs});
    this.pool.startTakingWork();
  },
);

When<ScenarioWorld>(
  '{int} kiosks send a request within {int} second(s) for chats of {word}',
  function (count, seconds, server) {
    const kioskIds = kioskIdsByWorld.get(this) ?? [];
    kioskIdsByWorld.set(this, kioskIds);
    const stepMs = (seconds * MS_PER_SECOND) / count;
    for (let index = 0; index < count; index++) {
      const id = `kiosk-${kioskIds.length}`;
      kioskIds.push(id);
      this.timeline.schedule(index * stepMs, () => {
        const offer = makeOffer(server, id, {chat: id, tokens: 400});
        this.pool.send(offer, server);
      });
    }
  },
);

When<ScenarioWorld>('{int} second(s) pass(es)', function (seconds) {
  this.timeline.advance(seconds * MS_PER_SECOND);
});

Then<ScenarioWorld>('no engine was ever loaded beyond the bound', function () {
  const {server, tokens, allowedTokens} = this.pool.highestLoad;
  assert.ok(
    tokens <= allowedTokens * (1 + ROUNDING_TOLERANCE),
    `${server} ran ${tokens} tokens where ${allowedTokens} were allowed`,
  );
});

function countRuns(pool: Pool, requestId: string): number {
  return pool.servers.reduce(
    (sum, server) => sum + server.runsOf(requestId),
    0,
  );
}

Then<ScenarioWorld>(
  'every kiosk was answered once or refused with a retry time',
  function () {
    for (const id of kioskIdsByWorld.get(this) ?? []) {
      const runs = countRuns(this.pool, id);
      const retryAfterMs = this.pool.refusedRequests.get(id);
      if (retryAfterMs === undefined) {
        assert.equal(runs, 1, `${id} was run ${runs} times`);
        const done = this.pool.servers.some(server => server.completed.has(id));
        assert.ok(done, `no engine completed ${id}`);
      } else {
        assert.equal(runs, 0, `${id} was refused but ran`);
        assert.ok(retryAfterMs > 0, `${id} was refused without a retry time`);
      }
    }
  },
);

Then<ScenarioWorld>(
  'at least {int} engines each did a tenth of the work',
  function (count) {
    const runs = this.pool.servers.map(server => server.completed.size);
    const total = runs.reduce((sum, count) => sum + count, 0);
    const busy = runs.filter(count => count >= total * BUSY_SHARE).length;
    assert.ok(busy >= count, `runs by engine: ${runs.join(', ')}`);
  },
);

Given<ScenarioWorld>(
  '{word} has just started and has received no mean load',
  function (name) {
    this.createServerWithoutMean(name);
  },
);

When<ScenarioWorld>(
  '{int} kiosks send a request to {word} at once',
  function (count, name) {
    for (let index = 0; index < count; index++) {
      this.server(name).offer(makeOffer(name, `kiosk-${index}`));
    }
  },
);

Then<ScenarioWorld>('{word} runs no more than its floor', function (name) {
  const {runningTokens} = this.server(name);
  assert.ok(runningTokens > 0, 'it runs nothing');
  assert.ok(runningTokens <= POOL.floorTokens, `it runs ${runningTokens}`);
});

Then<ScenarioWorld>('{word} ran nothing', function (name) {
  assert.equal(this.server(name).runs.size, 0);
});

Then<ScenarioWorld>('no engine cancelled a running request', function () {
  for (const {name, cancelled} of this.pool.servers) {
    assert.equal(cancelled.size, 0, name);
  }
});
