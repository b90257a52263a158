/**
 * Which members a subscriber can ask, as one member knows the group.
 */
import {type ConsensusNode, MEMBER_ROLE} from '@lovagepond/consensus';

/**
 * @param node a member's part in consensus
 * @returns `host:port` of all members; a host whose disk was emptied stands in
 *     the group twice until it votes again
 */
export function listMemberAddresses(node: ConsensusNode): readonly string[] {
  const {members} = node.status();
  return [...new Set(members.map(({address}) => address))];
}

/**
 * @param node a member's part in consensus
 * @returns `host:port` of members to ask in its place; none once it has a log
 */
export function listMembersWithLog(node: ConsensusNode): readonly string[] {
  const {commitIndex, leader, role} = node.status();
  if (commitIndex > 0 || role === MEMBER_ROLE.LEADER) return [];
  return leader ? [leader.address] : node.announcedMembers();
}
