import {afterEach, describe, expect, it} from 'vitest';
import {
  answer,
  CONTENT,
  GatewayHarness,
  type Script,
} from './gateway_harness.js';

const good: Script = (req, res) => {
  answer(req, res, 200, 'yes');
};
const fail: Script = (req, res) => {
  answer(req, res, 500, 'no');
};

let harness: GatewayHarness | undefined;

afterEach(() => {
  harness?.stop();
});

/** Starts a gateway with one server in each of the regions `r0`, `r1`, `r2`. */
async function start(
  script: Script,
  selectorRegions: readonly string[] | undefined,
  workspaceRegions: readonly string[] | undefined,
): Promise<GatewayHarness> {
  const started = await GatewayHarness.start([script, script, script], {
    listed: index => ({region: `r${index}`, availabilityZone: 'a'}),
  });
  const restrict = <Item>(item: Item, regions?: readonly string[]): Item =>
    regions ? {...item, allowedRegions: [...regions]} : item;
  started.admission.install({
    revision: 2,
    content: {
      ...CONTENT,
      selectors: CONTENT.selectors.map(one => restrict(one, selectorRegions)),
      workspaces: CONTENT.workspaces.map(one =>
        restrict(one, workspaceRegions),
      ),
    },
  });
  harness = started;
  return started;
}

describe('a request', () => {
  // Guards against a request that leaves the regions of its selector or its
  // workspace; with both, both bind.
  it.each([
    [undefined, undefined, ['server-0', 'server-1', 'server-2']],
    [['r0', 'r1'], undefined, ['server-0', 'server-1']],
    [undefined, ['r2'], ['server-2']],
    [['r0', 'r1'], ['r1', 'r2'], ['server-1']],
  ])('allowed in %s and %s reaches only %s', async (one, other, expected) => {
    const gateway = await start(good, one, other);
    for (let n = 0; n < 30; n += 1) {
      expect((await gateway.call({path: '/read/a'})).status).toBe(200);
    }
    expect([...new Set(gateway.arrivals)].sort()).toEqual(expected);
  });

  it('is refused as not run where no region is left', async () => {
    const gateway = await start(good, ['r0'], ['r1']);
    expect((await gateway.call({path: '/read/a'})).status).toBe(503);
    expect(gateway.arrivals).toEqual([]);
  });

  it('is retried only in its regions', async () => {
    const gateway = await start(fail, ['r0', 'r2'], undefined);
    for (let n = 0; n < 10; n += 1) await gateway.call({path: '/read/a'});
    expect(gateway.arrivals.length).toBeGreaterThan(10);
    expect(gateway.arrivals).not.toContain('server-1');
  });
});
