// Lets a test worker's event loop turn before each test. Tests without
// asynchronous steps run in one turn, one after the other: a file of long
// simulations would keep its worker from answering the runner, which gives up
// after a minute and fails the run although no test failed.
import {setImmediate as nextTurn} from 'node:timers/promises';
import {beforeEach} from 'vitest';

beforeEach(async () => {
  await nextTurn();
});
