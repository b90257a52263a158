import {describe, expect, it} from 'vitest';
import {waitUntil} from './open_chat.js';
import {useThreeMembers} from './three_members.js';

const CHANGE = ['workspaces', 'set', 'pharmacy', 'weight=2'];
const SAME_OPERATION = ['--operation-id', 'pharmacy-weight', '--base', '1'];

interface Convergence {
  readonly revision: number;
  readonly behind: readonly string[];
  readonly nodes: readonly {readonly node: string}[];
}

describe('three control members', () => {
  const fleet = useThreeMembers();

  async function findLeader(): Promise<string> {
    for (const name of fleet.namesOf('control')) {
      const {state} = await fleet.dump(name);
      const {role} = state['consensus'] as {role: string};
      if (role === 'leader') return name;
    }
    throw new Error('no leader');
  }

  async function revisionOf(name: string): Promise<unknown> {
    return (await fleet.dump(name)).state['revision'];
  }

  // The leader crashes after it accepted a change. The operator, who can't know
  // the outcome, sends the change again with the same operation id. The retry
  // must return the accepted revision: otherwise the change is made twice, or
  // refused because of its old base revision. The other members distribute the
  // revision, and the crashed member has it too after a restart with its disk.
  it('make a change once although their leader fails', async () => {
    const accepted = await fleet.ctl(...CHANGE, ...SAME_OPERATION);
    expect(accepted).toMatchObject({revision: 2});
    const leader = await findLeader();
    await fleet.get(leader).end('SIGKILL');
    const repeated = await fleet.ctl(...CHANGE, ...SAME_OPERATION);
    expect(repeated).toMatchObject({revision: 2});

    const routers = fleet.namesOf('router');
    const nodes = [...routers, ...fleet.namesOf('sidecar')].sort();
    await waitUntil(async () => {
      const convergence = (await fleet.ctl(
        'convergence',
        '--wait',
      )) as Convergence;
      expect(convergence).toMatchObject({revision: 2, behind: []});
      return convergence.nodes.length === nodes.length;
    });
    for (const router of routers) expect(await revisionOf(router)).toBe(2);

    await fleet.restart(leader);
    await waitUntil(async () => (await revisionOf(leader)) === 2);
    expect(await fleet.ctl('configuration')).toMatchObject({revision: 2});
  });
});
