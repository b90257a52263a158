/**
 * Addresses of the members that a subscriber can connect to.
 */
import {type ConsensusNode, MEMBER_ROLE} from '@lovagepond/consensus';

/**
 * @param node this member's consensus node
 * @returns `host:port` of all members, without duplicates: a host whose disk
 *     was emptied is in the group twice until it votes again
 */
export function listMemberAddresses(node: ConsensusNode): readonly string[] {
  const {members} = node.status();
  return [...new Set(members.map(({address}) => address))];
}

/**
 * @param node this member's consensus node
 * @returns `host:port` of members to which this member redirects subscribers;
 *     none once this member has a log
 */
export function listRedirectTargets(node: ConsensusNode): readonly string[] {
  const {commitIndex, leader, role} = node.status();
  if (commitIndex > 0 || role === MEMBER_ROLE.LEADER) return [];
  return leader ? [leader.address] : node.announcedMembers();
}
