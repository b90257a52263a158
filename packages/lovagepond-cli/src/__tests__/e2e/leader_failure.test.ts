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

  // An operator's change is accepted, and the leader dies; the operator, who
  // can't know whether it was, sends it again under the same operation id. It
  // must be answered as the change already made, or it would be made twice or
  // be refused for its old base. The others bring it into force everywhere, and
  // the dead member comes back with its disk and holds it too.
  it('make a change once over the death of their leader', async () => {
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
