/**
 * `ctl` commands for the control members.
 */
import {type ControlMemberView, type MemberChange} from '@lovagepond/control';
import {operationIdOf} from './ctl_change_utils.js';
import {formatTable} from './ctl_format_utils.js';
import {
  type CtlCall,
  type CtlCommand,
  type CtlOutput,
  UsageError,
} from './ctl_types.js';

async function readMembers(
  call: CtlCall,
): Promise<readonly ControlMemberView[]> {
  return (await call.client.read(
    '/v1/members',
  )) as readonly ControlMemberView[];
}

async function showMembers(call: CtlCall): Promise<CtlOutput> {
  const members = await readMembers(call);
  const rows = members.map(member => [
    member.memberId,
    member.address,
    member.voter ? 'voter' : 'learner',
    member.leader ? 'yes' : 'no',
    member.matchIndex,
  ]);
  const headings = ['MEMBER', 'ADDRESS', 'ROLE', 'LEADER', 'MATCH'];
  return {json: members, lines: formatTable(headings, rows)};
}

async function changeMembers(
  call: CtlCall,
  change: MemberChange,
): Promise<CtlOutput> {
  const operationId = operationIdOf(call);
  const path = '/v1/members';
  await call.client.change({method: 'POST', path, operationId, body: change});
  return showMembers(call);
}

function addLearner(call: CtlCall): Promise<CtlOutput> {
  const [memberId = '', address = ''] = call.args;
  return changeMembers(call, {kind: 'addLearner', memberId, address});
}

function promote(call: CtlCall): Promise<CtlOutput> {
  return changeMembers(call, {kind: 'promote', memberId: call.args[0] ?? ''});
}

function remove(call: CtlCall): Promise<CtlOutput> {
  return changeMembers(call, {kind: 'remove', memberId: call.args[0] ?? ''});
}

/**
 * Control adds the new member, promotes it once it has caught up and removes
 * the old one.
 */
function replace(call: CtlCall): Promise<CtlOutput> {
  const [formerMemberId = '', memberId = '', address = ''] = call.args;
  if (formerMemberId === memberId) {
    throw new UsageError(
      'the new member must have another name than the old one',
    );
  }
  const change = {kind: 'replace', formerMemberId, memberId, address} as const;
  return changeMembers(call, change);
}

const ADDRESS_ARGS = '<member> <host:port>';

/** Commands for the control members. */
export const MEMBER_COMMANDS: readonly CtlCommand[] = [
  {
    group: 'members',
    name: 'list',
    description: 'list the control members',
    example: 'members list',
    run: showMembers,
  },
  {
    group: 'members',
    name: 'add',
    args: ADDRESS_ARGS,
    description: 'add a learner: it replicates the log without a vote',
    example: 'members add control-4 10.0.0.4:7402',
    run: addLearner,
  },
  {
    group: 'members',
    name: 'promote',
    args: '<member>',
    description: 'make a learner that has caught up a voter',
    example: 'members promote control-4',
    run: promote,
  },
  {
    group: 'members',
    name: 'remove',
    args: '<member>',
    description: 'remove a member',
    example: 'members remove control-2',
    run: remove,
  },
  {
    group: 'members',
    name: 'replace',
    args: '<old> <new> <host:port>',
    description: 'add and promote a new member, then remove the old one',
    example: 'members replace control-2 control-4 10.0.0.4:7402',
    run: replace,
  },
];
