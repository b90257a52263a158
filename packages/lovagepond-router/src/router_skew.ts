/**
 * Measures the load skew of each pool from this router's view of load.
 */
import {type Membership, SERVER_STATE} from '@lovagepond/core';
import {type RouterLoadView} from './router_load_view.js';

/**
 * @param membership the current backend servers
 * @param load this router's view of their load
 * @returns by pool, the highest load of a ready server divided by the mean;
 *     pools without load are omitted
 */
export function measureSkew(
  membership: Membership,
  load: RouterLoadView,
): ReadonlyMap<string, number> {
  const loadsByPool = new Map<string, number[]>();
  for (const {pool, slot, state} of membership.servers.values()) {
    if (state !== SERVER_STATE.READY) continue;
    const loads = loadsByPool.get(pool) ?? [];
    loads.push(load.loadOf(slot));
    loadsByPool.set(pool, loads);
  }
  const skews = new Map<string, number>();
  for (const [pool, loads] of loadsByPool) {
    const total = loads.reduce((sum, tokens) => sum + tokens, 0);
    if (total === 0) continue;
    skews.set(pool, (Math.max(...loads) * loads.length) / total);
  }
  return skews;
}
