/**
 * Applies control's membership updates to the list a router holds.
 */
import {type Membership} from '@lovagepond/core';
import {type lovagepond, readMember} from '@lovagepond/protocol';

type WireUpdate = lovagepond.v1.MembershipUpdate.$Properties;

/**
 * @param current the list held
 * @param update control's update, whole or against the version before
 * @returns the next list
 */
export function applyMembership(
  current: Membership,
  update: WireUpdate,
): Membership {
  const servers = new Map(update.whole ? [] : current.servers);
  for (const name of update.gone ?? []) servers.delete(name);
  for (const wire of update.members ?? []) {
    const server = Object.freeze(readMember(wire));
    servers.set(server.name, server);
  }
  return Object.freeze({version: update.version ?? 0, servers});
}
