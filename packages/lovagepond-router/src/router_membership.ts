/**
 * Applies the control plane's membership updates to a router's membership view.
 */
import {isDirect, type Membership} from '@lovagepond/core';
import {type lovagepond, readMember} from '@lovagepond/protocol';

type WireUpdate = lovagepond.v1.MembershipUpdate.$Properties;

/**
 * @param current the current membership
 * @param update the control plane's update: the whole list, all servers without
 *     a sidecar, or the changes since the previous version
 * @returns the updated membership
 */
export function applyMembership(
  current: Membership,
  update: WireUpdate,
): Membership {
  const servers = new Map(update.whole ? [] : current.servers);
  if (update.wholeDirect) {
    for (const server of current.servers.values()) {
      if (isDirect(server)) servers.delete(server.name);
    }
  }
  for (const name of update.gone ?? []) servers.delete(name);
  for (const wire of update.members ?? []) {
    const server = Object.freeze(readMember(wire));
    servers.set(server.name, server);
  }
  return Object.freeze({version: update.version ?? 0, servers});
}
